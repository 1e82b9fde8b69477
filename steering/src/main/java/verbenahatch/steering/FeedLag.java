package verbenahatch.steering;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.StoreRevision;

/**
 * Detects that a feed of this host lags behind the same feed of another host.
 *
 * <p>The store may have lost the watch of this host, or the relay that reads for it may be cut off
 * from the store. Neither shows at once, but heartbeats of other hosts name the newest change that
 * they have seen. Must be called by one thread.
 */
final class FeedLag {

  private final Function<HostBeat, StoreRevision> newestOfPeer;
  private final Supplier<StoreRevision> newestOfThisHost;
  private final Runnable refresh;
  private boolean behind;
  private long behindSinceNanos;

  /**
   * Creates the detection for one feed.
   *
   * @param newestOfPeer returns the newest change that another host has seen
   * @param newestOfThisHost returns the change up to which this host has read the feed
   * @param refresh reads the feed again
   */
  FeedLag(
      Function<HostBeat, StoreRevision> newestOfPeer,
      Supplier<StoreRevision> newestOfThisHost,
      Runnable refresh) {
    this.newestOfPeer = newestOfPeer;
    this.newestOfThisHost = newestOfThisHost;
    this.refresh = refresh;
  }

  /**
   * Refreshes the feed if it has lagged for longer than is tolerated.
   *
   * @param heartbeats the newest heartbeats of other hosts
   * @param toleranceMillis the time in ms in which a change normally reaches this host
   * @param nowNanos the current time in ns
   */
  void check(List<HostBeat> heartbeats, long toleranceMillis, long nowNanos) {
    boolean wasBehind = behind;
    behind = isBehind(heartbeats);
    if (!behind) {
      return;
    }
    if (!wasBehind) {
      behindSinceNanos = nowNanos;
    } else if (nowNanos - behindSinceNanos > TimeUnit.MILLISECONDS.toNanos(toleranceMillis)) {
      refresh.run();
      behindSinceNanos = nowNanos;
    }
  }

  private boolean isBehind(List<HostBeat> heartbeats) {
    StoreRevision own = newestOfThisHost.get();
    for (HostBeat heartbeat : heartbeats) {
      if (newestOfPeer.apply(heartbeat).isAfter(own)) {
        return true;
      }
    }
    return false;
  }
}
