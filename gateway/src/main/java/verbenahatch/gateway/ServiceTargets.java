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

/** Holds the targets of one service and how its work is spread. Lists are immutable. */
final class ServiceTargets {

  /** Estimate of the time a request takes, before the first answer. */
  private static final long FIRST_ESTIMATE_NANOS = 10_000_000L;

  /** Weight of the newest answer in the mean time, as a divisor. */
  private static final int MEAN_DIVISOR = 16;

  private final String name;
  private final List<TargetState> all;
  private final Map<String, List<TargetState>> byRegionAndVersion = new HashMap<>();
  private final Spread spread;

  /** Outlives the document, so that a new one does not reset pacing. */
  static final class Spread {
    private final Map<String, SpillPacer> pacers;
    private final RegionChooser regions;
    private final AtomicLong meanBytes = new AtomicLong();
    private final AtomicLong meanNanos = new AtomicLong(FIRST_ESTIMATE_NANOS);

    Spread(Iterable<String> regionNames, long nowNanos) {
      this.regions = new RegionChooser(nowNanos);
      this.pacers = new ConcurrentHashMap<>();
      for (String region : regionNames) {
        pacers.put(region, new SpillPacer(nowNanos));
      }
    }
  }

  ServiceTargets(String name, List<TargetState> all, Spread spread) {
    this.name = name;
    this.all = List.copyOf(all);
    this.spread = spread;
    List<TargetState> sorted = new ArrayList<>(all);
    // All hosts divide the slots in the same order.
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

  List<TargetState> all() {
    return all;
  }

  Spread spread() {
    return spread;
  }

  List<TargetState> in(String region, String version) {
    return byRegionAndVersion.getOrDefault(key(region, version), List.of());
  }

  /** Returns the targets of each region and version. */
  Iterable<List<TargetState>> groups() {
    return byRegionAndVersion.values();
  }

  RegionChooser regions() {
    return spread.regions;
  }

  SpillPacer pacer(String region, long nowNanos) {
    return spread.pacers.computeIfAbsent(region, name -> new SpillPacer(nowNanos));
  }

  /** Tells whether the document names any target of the service in a region. */
  boolean isIn(String region) {
    for (TargetState state : all) {
      if (state.target().region().equals(region)) {
        return true;
      }
    }
    return false;
  }

  /** Records the time that an answer took, for estimates of waits. */
  void took(long nanos) {
    spread.meanNanos.updateAndGet(mean -> mean + (nanos - mean) / MEAN_DIVISOR);
  }

  /** Records the size of the body of an answer, for what is taken from a link in advance. */
  void answered(long bytes) {
    spread.meanBytes.updateAndGet(mean -> mean + (bytes - mean) / MEAN_DIVISOR);
  }

  long meanBytes() {
    return spread.meanBytes.get();
  }

  long meanNanos() {
    return spread.meanNanos.get();
  }
}
