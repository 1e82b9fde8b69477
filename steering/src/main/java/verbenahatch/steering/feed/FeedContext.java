package verbenahatch.steering.feed;

import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/**
 * Holds the dependencies that all followers of a host share.
 *
 * @param clock the clock of the process
 * @param events the log of the process
 * @param peers reads feeds from other hosts
 * @param sources selects the host to read a feed from
 * @param eras tracks the era of the store
 */
public record FeedContext(
    Clock clock, Events events, PeerFeeds peers, FeedSources sources, StoreEras eras) {}
