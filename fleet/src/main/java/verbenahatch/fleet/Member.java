package verbenahatch.fleet;

import verbenahatch.peer.PeerAddress;

/**
 * A host that is a member of the fleet.
 *
 * @param host the name of the host
 * @param incarnation the unique id generated at the start of its process, or for its rejoin after a
 *     fence
 * @param region the name of its region
 * @param zone the name of its availability zone
 * @param peer the address at which peers connect to it
 * @param entryUrl the base URL at which callers send requests to it
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
