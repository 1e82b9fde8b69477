package verbenahatch.gateway;

import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.limits.Limits;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerLink;
import verbenahatch.release.Releases;
import verbenahatch.store.ObjectStore;

/**
 * What the gateway uses from other modules.
 *
 * @param settings the settings of this host
 * @param fleet the members of the fleet, and whether this host is in contact with them
 * @param config the configuration in force on this host
 * @param keys checks the keys of callers
 * @param limits the limits that all hosts share
 * @param releases chooses versions and records evidence for releases
 * @param peers sends messages to other hosts
 * @param store the object store of the platform
 * @param clock the clock of the process
 * @param events the log of the process
 */
public record GatewayContext(
    Settings settings,
    Fleet fleet,
    ConfigView config,
    Keys keys,
    Limits limits,
    Releases releases,
    PeerLink peers,
    ObjectStore store,
    Clock clock,
    Events events) {}
