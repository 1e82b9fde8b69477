package verbenahatch.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import verbenahatch.routing.RegionChooser;
import verbenahatch.routing.SpillPacer;
import verbenahatch.routing.TargetState;

/**
 * The targets of one service and the state that balances its requests among them. The lists are
 * immutable.
 */
final class ServiceTargets {

  /** Estimated time of a request before the first response, in nanoseconds. */
  private static final long INITIAL_MEAN_NANOS = 10_000_000L;

  /** Divisor that gives the weight of the latest response in the moving averages. */
  private static final int MEAN_DIVISOR = 16;

  private final String name;
  private final List<TargetState> allTargets;
  private final Map<String, List<TargetState>> byRegionAndVersion = new HashMap<>();
  private final BalancingState balancing;

  /** Balancing state that is kept when the document changes, so that pacing is not reset. */
  static final class BalancingState {
    private final Map<String, SpillPacer> pacers;
    private final RegionChooser regionChooser;
    private final AtomicLong meanBytes = new AtomicLong();
    private final AtomicLong meanNanos = new AtomicLong(INITIAL_MEAN_NANOS);

    BalancingState(Iterable<String> regionNames, long nowNanos) {
      this.regionChooser = new RegionChooser(nowNanos);
      this.pacers = new ConcurrentHashMap<>();
      for (String region : regionNames) {
        pacers.put(region, new SpillPacer(nowNanos));
      }
    }
  }

  ServiceTargets(String name, List<TargetState> allTargets, BalancingState balancing) {
    this.name = name;
    this.allTargets = List.copyOf(allTargets);
    this.balancing = balancing;
    List<TargetState> sorted = new ArrayList<>(allTargets);
    // All hosts must assign the slots in the same order.
    sorted.sort(Comparator.comparing(state -> state.target().id()));
    for (TargetState state : sorted) {
      byRegionAndVersion
          .computeIfAbsent(
              key(state.target().region(), state.target().version()), k -> new ArrayList<>())
          .add(state);
    }
  }

  private static String key(String region, String version) {
    return region + '\n' + version;
  }

  String name() {
    return name;
  }

  List<TargetState> allTargets() {
    return allTargets;
  }

  BalancingState balancing() {
    return balancing;
  }

  List<TargetState> targetsIn(String region, String version) {
    return byRegionAndVersion.getOrDefault(key(region, version), List.of());
  }

  /** Returns the targets, grouped by region and version. */
  Iterable<List<TargetState>> regionVersionGroups() {
    return byRegionAndVersion.values();
  }

  RegionChooser regionChooser() {
    return balancing.regionChooser;
  }

  SpillPacer pacer(String region, long nowNanos) {
    return balancing.pacers.computeIfAbsent(region, name -> new SpillPacer(nowNanos));
  }

  /** Returns whether the document lists any target of the service in a region. */
  boolean hasTargetIn(String region) {
    for (TargetState state : allTargets) {
      if (state.target().region().equals(region)) {
        return true;
      }
    }
    return false;
  }

  /** Records the latency of a response, in nanoseconds, for estimates of waits. */
  void recordLatency(long nanos) {
    balancing.meanNanos.updateAndGet(mean -> mean + (nanos - mean) / MEAN_DIVISOR);
  }

  /** Records the size of a response body, for the bytes that are reserved on a link in advance. */
  void recordResponseBytes(long bytes) {
    balancing.meanBytes.updateAndGet(mean -> mean + (bytes - mean) / MEAN_DIVISOR);
  }

  long meanBytes() {
    return balancing.meanBytes.get();
  }

  long meanNanos() {
    return balancing.meanNanos.get();
  }
}
