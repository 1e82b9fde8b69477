package verbenahatch.steering;

import java.util.List;

/**
 * Holds the targets of one service and what its answers take.
 *
 * <p>The list is replaced whole; the times are means over all targets.
 */
final class ServiceTargets {

  /** Time of an answer before the first one was measured, in milliseconds. */
  private static final double INITIAL_MILLIS = 500;

  /** Weight of the newest answer in the mean time. */
  private static final double TIME_WEIGHT = 0.03;

  /** A target that has not handled the object takes this many times as long, until measured. */
  private static final double INITIAL_COLD_RATIO = 2.5;

  /** A cold object never takes less than this many times the time of a warm one. */
  private static final double MIN_COLD_RATIO = 1.3;

  final String name;
  volatile List<Target> targets = List.of();
  private volatile double warmMillis = INITIAL_MILLIS;
  private volatile double coldMillis = INITIAL_MILLIS * INITIAL_COLD_RATIO;

  /** Time for which a loss of targets lets shares of regions follow faster, in nanoseconds. */
  private static final long LOSS_NANOS = 4_000_000_000L;

  final RegionShares regions;
  private volatile long lossNanos;
  private volatile boolean lost;

  ServiceTargets(String name, double maxRegionShift) {
    this.name = name;
    this.regions = new RegionShares(maxRegionShift);
  }

  /** Notes that a target was lost without being asked to leave. */
  void lostTarget(long nowNanos) {
    lossNanos = nowNanos;
    lost = true;
  }

  boolean isLossNear(long nowNanos) {
    return lost && nowNanos - lossNanos < LOSS_NANOS;
  }

  /** Returns the time that the first target in hash order takes for an object. */
  double warmMillis() {
    return warmMillis;
  }

  /** Returns the time that other targets take. */
  double coldMillis() {
    return Math.max(coldMillis, warmMillis * MIN_COLD_RATIO);
  }

  /** Measures an answer; lost updates of concurrent answers do no harm to a mean. */
  void measured(ObjectHeat heat, double millis) {
    if (heat == ObjectHeat.WARM) {
      warmMillis = warmMillis + TIME_WEIGHT * (millis - warmMillis);
    } else if (heat == ObjectHeat.COLD) {
      coldMillis = coldMillis + TIME_WEIGHT * (millis - coldMillis);
    }
  }
}
