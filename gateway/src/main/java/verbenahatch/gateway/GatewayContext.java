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
 * Gathers what the data path uses from other modules.
 *
 * @param settings the settings of this host
 * @param fleet contact and members
 * @param config the configuration in force
 * @param keys callers' keys
 * @param limits shared limits
 * @param releases versions and evidence
 * @param peers the link to other hosts
 * @param store the platform's object API
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
