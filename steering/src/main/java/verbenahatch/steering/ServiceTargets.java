package verbenahatch.steering;

import java.util.List;

/**
 * Holds the targets of one service and the processing times of the service.
 *
 * <p>The list of targets is replaced as a whole; the times are estimates over all targets.
 */
final class ServiceTargets {

  final String name;
  volatile List<Target> targets = List.of();
  final ProcessingTimes times = new ProcessingTimes();

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
}
