package verbenahatch.limits;

import java.util.concurrent.Executor;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;

/**
 * Groups the dependencies that the classes of this module share.
 *
 * @param clock the monotonic clock for all periods and waits
 * @param fleet this host's view of the fleet
 * @param members the live members of the fleet
 * @param link sends messages to other hosts
 * @param store the platform's object API; it blocks, so it is called on {@code storeCalls} only
 * @param storeCalls runs blocking store calls
 * @param events the event log
 */
record LimitsContext(
    Clock clock,
    Fleet fleet,
    LiveMembers members,
    PeerLink link,
    ObjectStore store,
    Executor storeCalls,
    Events events) {}
