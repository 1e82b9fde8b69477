package verbenahatch.steering.model;

import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Holds the settings of a steering process; docs/settings.md lists them.
 *
 * @param host the name of the host
 * @param zone the availability zone
 * @param region the region
 * @param callers the address for callers, IP address and port
 * @param readiness the address for readiness checks
 * @param directory the address of the directory
 * @param internalAddress the IP address for metrics, state and peers
 * @param peerPort the UDP port for datagrams of other hosts and the TCP port of feeds for them
 * @param metricsPort the TCP port for metrics and the state dump
 * @param store the address of the platform's store
 * @param seeds the addresses of hosts that may be contacted before the store responds
 * @param regionsByZone the region of each zone
 * @param firstStart whether all hosts start together for the first time
 * @param capacity what the machine of the host can carry
 * @param bounds the bounds that the operators of the platform promise or demand
 */
public record SteeringSettings(
    String host,
    String zone,
    String region,
    String callers,
    String readiness,
    String directory,
    String internalAddress,
    int peerPort,
    int metricsPort,
    String store,
    List<String> seeds,
    Map<String, String> regionsByZone,
    boolean firstStart,
    HostCapacity capacity,
    Bounds bounds) {

  /** Copies the collections; treats null collections as empty and drops null and repeated seeds. */
  public SteeringSettings {
    seeds = seeds == null ? List.of() : seeds.stream().filter(Objects::nonNull).distinct().toList();
    regionsByZone =
        regionsByZone == null
            ? Map.of()
            : Collections.unmodifiableMap(new LinkedHashMap<>(regionsByZone));
  }

  /**
   * Holds what the machine of a host can carry.
   *
   * @param cores the cores that the host may use; 0 if unknown
   * @param linkMbps the bandwidth of its link in Mbit/s; 0 if unknown
   */
  public record HostCapacity(double cores, double linkMbps) {}

  /**
   * Holds the bounds that the operators of the platform promise or demand.
   *
   * @param stopMillis the time from SIGTERM to SIGKILL in milliseconds
   * @param directoryTtlMillis the maximum time in milliseconds for which a caller uses a response
   *     of the directory
   * @param quotaWindowMillis the window in milliseconds over which a workspace's requests are
   *     counted
   * @param quotaOvershoot the fraction by which all hosts together may exceed a rate and burst
   * @param quotaSlack the requests beyond that in one window
   * @param maxRegionShift the fraction of a region's requests that may change the region in which
   *     they run from one window of two seconds to the next
   * @param retryRatio the retries per request that all hosts together may send to a service
   * @param retrySlack the retries beyond that in one window
   * @param canaryShare the fraction of a service's requests that a faulty version may receive
   * @param canarySlack the requests beyond that
   */
  public record Bounds(
      long stopMillis,
      long directoryTtlMillis,
      long quotaWindowMillis,
      double quotaOvershoot,
      double quotaSlack,
      double maxRegionShift,
      double retryRatio,
      double retrySlack,
      double canaryShare,
      double canarySlack) {}

  /**
   * Returns all regions.
   *
   * @return the regions without duplicates, in order of the zones
   */
  public List<String> regions() {
    return Arrays.asList(regionsByZone.values().stream().distinct().toArray(String[]::new));
  }
}
