package verbenahatch.limits;

import java.util.concurrent.Executor;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;

/**
 * Gathers what the parts of this module need from outside.
 *
 * @param clock the clock
 * @param fleet what this host knows about the fleet
 * @param members selects the members that take part
 * @param link the link to other hosts
 * @param store the platform's object API; called on {@code storeCalls} only
 * @param storeCalls runs calls that block
 * @param events the log
 */
record LimitsContext(
    Clock clock,
    Fleet fleet,
    LiveMembers members,
    PeerLink link,
    ObjectStore store,
    Executor storeCalls,
    Events events) {}
