package verbenahatch.fleet;

import verbenahatch.peer.PeerAddress;

/**
 * Describes a host that belongs to the fleet.
 *
 * @param host the name of the host
 * @param incarnation the id drawn at the start of its process
 * @param region the region
 * @param zone the availability zone
 * @param peer the peer port
 * @param entryUrl the base URL at which callers reach it
 * @param leaving whether it is stopping
 */
public record Member(
    String host,
    String incarnation,
    String region,
    String zone,
    PeerAddress peer,
    String entryUrl,
    boolean leaving) {}
