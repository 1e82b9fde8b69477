package verbenahatch.steering.model;

/**
 * Holds the record that a host writes about itself to the store.
 *
 * @param name the name of the host
 * @param incarnation the incarnation of its process, drawn at each start
 * @param zone the availability zone
 * @param region the region
 * @param callersAddress the IP address and port for callers
 * @param peerAddress the IP address and port for datagrams of other hosts
 */
public record HostRecord(
    String name,
    String incarnation,
    String zone,
    String region,
    String callersAddress,
    String peerAddress) {}
