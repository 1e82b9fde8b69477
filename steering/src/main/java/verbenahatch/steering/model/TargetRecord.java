package verbenahatch.steering.model;

/**
 * Holds the entry that a target writes about itself to the registry.
 *
 * @param id the id of its incarnation, not necessarily new after a restart
 * @param service the service that it belongs to
 * @param address the IP address
 * @param port the TCP port
 * @param zone the availability zone
 * @param version the version of its software
 * @param slots the maximum number of requests that it runs at the same time
 * @param draining whether it is draining because it is about to stop
 * @param coldMillis the remaining time in milliseconds for which it was cold when the entry was
 *     written
 * @param startedWallMillis the wall-clock time of its start in milliseconds; distinguishes the
 *     incarnations of one id
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
    long startedWallMillis) {

  /**
   * Returns whether another entry describes the same process.
   *
   * @param other an entry with the same id
   * @return true if service, address, port and start are equal
   */
  public boolean isSameIncarnation(TargetRecord other) {
    return startedWallMillis == other.startedWallMillis
        && service.equals(other.service)
        && address.equals(other.address)
        && port == other.port;
  }

  /**
   * Returns this entry with the state draining.
   *
   * @return a copy of this entry
   */
  public TargetRecord asDraining() {
    return new TargetRecord(
        id, service, address, port, zone, version, slots, true, coldMillis, startedWallMillis);
  }
}
