package verbenahatch.steering;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Paces how the requests of one service are distributed over regions.
 *
 * <p>Each request votes for the region that would answer it first. The shares follow the votes, but
 * no faster than the allowed shift, so that links and caches of a region see no sudden moves.
 * Thread-safe.
 */
final class RegionShares {

  /** Time in which shares follow the votes if the pace allows it, in seconds. */
  private static final double FOLLOW_SECONDS = 1;

  /** The allowed shift is counted from one window of two seconds to the next. */
  private static final double WINDOW_SECONDS = 2;

  /** Part of the allowed shift that is used; the rest covers the luck of the draw. */
  private static final double SHIFT_PART = 0.6;

  /** Shares follow this many times as fast after a region has lost part of its targets. */
  private static final double LOSS_FACTOR = 5;

  private final double maxShiftPerSecond;
  private final Map<String, Double> shares = new TreeMap<>();
  private final LowDiscrepancySequence draws = new LowDiscrepancySequence(0);
  private long lastNanos;

  RegionShares(double maxShift) {
    this.maxShiftPerSecond = maxShift * SHIFT_PART / WINDOW_SECONDS;
  }

  /**
   * Sets the shares before the first request.
   *
   * @param initial the shares by region; their sum is 1
   * @param nowNanos the time
   */
  synchronized void start(Map<String, Double> initial, long nowNanos) {
    if (shares.isEmpty()) {
      shares.putAll(initial);
      lastNanos = nowNanos;
    }
  }

  synchronized boolean isStarted() {
    return !shares.isEmpty();
  }

  /**
   * Counts a vote and draws the region of this request.
   *
   * @param vote the region that would answer first
   * @param usable the regions that can take the request
   * @param position where the request's object lies among the shares, from 0 to 1; less than 0
   *     draws a position
   * @param lossNear whether targets were lost a short time ago
   * @param nowNanos the time
   * @return a usable region, null if none of the usable ones has a share yet
   */
  synchronized @Nullable String next(
      String vote, Set<String> usable, double position, boolean lossNear, long nowNanos) {
    follow(vote, lossNear, nowNanos);
    return draw(usable, position < 0 ? draws.next() : position);
  }

  private void follow(String vote, boolean lossNear, long nowNanos) {
    double seconds = Math.max(0, (nowNanos - lastNanos) / 1e9);
    lastNanos = nowNanos;
    double part = 1 - Math.exp(-seconds / FOLLOW_SECONDS);
    double most = maxShiftPerSecond * Math.min(seconds, WINDOW_SECONDS);
    if (lossNear) {
      most *= LOSS_FACTOR;
    }
    double wanted = part * (1 - shares.getOrDefault(vote, 0.0));
    double moved = Math.min(wanted, most);
    double before = 1 - shares.getOrDefault(vote, 0.0);
    if (before <= 0) {
      return;
    }
    double keep = 1 - moved / before;
    shares.replaceAll((region, share) -> region.equals(vote) ? share : share * keep);
    shares.merge(vote, moved, Double::sum);
  }

  private @Nullable String draw(Set<String> usable, double position) {
    double sum = 0;
    for (Map.Entry<String, Double> entry : shares.entrySet()) {
      if (usable.contains(entry.getKey())) {
        sum += entry.getValue();
      }
    }
    if (sum < 0.001) {
      return null;
    }
    double point = position * sum;
    String last = null;
    for (Map.Entry<String, Double> entry : shares.entrySet()) {
      if (!usable.contains(entry.getKey())) {
        continue;
      }
      last = entry.getKey();
      point -= entry.getValue();
      if (point < 0) {
        break;
      }
    }
    return last;
  }

  /** Returns the share of a region, for tests and the state dump. */
  synchronized double share(String region) {
    return shares.getOrDefault(region, 0.0);
  }
}
