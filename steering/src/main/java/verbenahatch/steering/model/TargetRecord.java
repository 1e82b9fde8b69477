package verbenahatch.steering.model;

/**
 * Holds what a target says of itself in the registry.
 *
 * @param id the name of its incarnation, not necessarily new after a restart
 * @param service the service that it belongs to
 * @param address the IP number
 * @param port the TCP port
 * @param zone the availability zone
 * @param version the version of its software
 * @param slots the requests that it runs at the same time
 * @param draining whether it is about to leave
 * @param coldMillis how much longer it was cold when the entry was written
 * @param startedWallMillis the wall-clock time of its start; tells incarnations of one id apart
 */
public record TargetRecord(
    String id,
    String service,
    String address,
    int port,
    String zone,
    String version,
    int slots,
    boolean draining,
    long coldMillis,
    long startedWallMillis) {}
