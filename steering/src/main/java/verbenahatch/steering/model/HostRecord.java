package verbenahatch.steering.model;

/**
 * Holds what a host records of itself in the store.
 *
 * @param name the name of the host
 * @param incarnation drawn at each start of its process
 * @param zone the availability zone
 * @param region the region
 * @param callersAddress the IP number and port for callers
 * @param peerAddress the IP number and port for datagrams of other hosts
 */
public record HostRecord(
    String name,
    String incarnation,
    String zone,
    String region,
    String callersAddress,
    String peerAddress) {}
