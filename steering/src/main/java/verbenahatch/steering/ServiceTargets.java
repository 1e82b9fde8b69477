package verbenahatch.steering;

import java.util.List;

/**
 * Holds the targets of one service and the mean response times of the service.
 *
 * <p>The list of targets is replaced as a whole; the times are means over all targets.
 */
final class ServiceTargets {

  /** Assumed response time before the first one was measured, in milliseconds. */
  private static final double INITIAL_MILLIS = 500;

  /** Weight of the newest response in the moving average of response times. */
  private static final double NEWEST_WEIGHT = 0.03;

  /** Assumed response time for cold objects relative to warm ones until it is measured. */
  private static final double INITIAL_COLD_RATIO = 2.5;

  /** Lower bound of the response time for cold objects relative to warm ones. */
  private static final double MIN_COLD_RATIO = 1.3;

  final String name;
  volatile List<Target> targets = List.of();
  private volatile double warmMillis = INITIAL_MILLIS;
  private volatile double coldMillis = INITIAL_MILLIS * INITIAL_COLD_RATIO;

  /** Time after a loss of targets during which region weights change faster, in nanoseconds. */
  private static final long LOSS_WINDOW_NANOS = 4_000_000_000L;

  final RegionWeights regionWeights;
  private volatile long lossNanos;
  private volatile boolean lost;

  ServiceTargets(String name, double maxRegionShift) {
    this.name = name;
    this.regionWeights = new RegionWeights(maxRegionShift);
  }

  /** Records that a target was lost without having drained. */
  void recordLoss(long nowNanos) {
    lossNanos = nowNanos;
    lost = true;
  }

  boolean hasRecentLoss(long nowNanos) {
    return lost && nowNanos - lossNanos < LOSS_WINDOW_NANOS;
  }

  /** Returns the mean response time of targets with the object in their cache, in ms. */
  double warmMillis() {
    return warmMillis;
  }

  /** Returns the mean response time of targets without the object in their cache, in ms. */
  double coldMillis() {
    return Math.max(coldMillis, warmMillis * MIN_COLD_RATIO);
  }

  /** Records a response time in ms; lost concurrent updates are harmless to a moving average. */
  void recordDuration(CacheState cacheState, double millis) {
    if (cacheState == CacheState.WARM) {
      warmMillis = warmMillis + NEWEST_WEIGHT * (millis - warmMillis);
    } else if (cacheState == CacheState.COLD) {
      coldMillis = coldMillis + NEWEST_WEIGHT * (millis - coldMillis);
    }
  }
}
