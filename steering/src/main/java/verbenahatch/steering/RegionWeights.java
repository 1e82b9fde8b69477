package verbenahatch.steering;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.routing.WeightedRendezvous;

/**
 * Holds the weights with which the requests of one service are distributed over regions.
 *
 * <p>Each request shifts weight to its preferred region, the one expected to respond first. The
 * shift is bounded, so that the traffic on links and caches of a region does not change suddenly.
 * Thread-safe.
 */
final class RegionWeights {

  /** Time constant in seconds with which weights follow the preferred regions within the bound. */
  private static final double TIME_CONSTANT_SECONDS = 1;

  /** The allowed shift is measured from one window of two seconds to the next. */
  private static final double WINDOW_SECONDS = 2;

  /** Fraction of the allowed shift that is used; the rest covers random variation of the draws. */
  private static final double SHIFT_FRACTION = 0.6;

  /** Factor on the allowed shift after a region has lost part of its targets. */
  private static final double LOSS_SHIFT_FACTOR = 5;

  /** Weight of the usable regions, of all regions, below which none of them is selected. */
  private static final double MIN_USABLE_WEIGHT = 0.001;

  private final double maxShiftPerSecond;
  private final Map<String, Double> weights = new TreeMap<>();
  private final LowDiscrepancySequence draws = new LowDiscrepancySequence(0);
  private long lastNanos;

  RegionWeights(double maxShift) {
    this.maxShiftPerSecond = maxShift * SHIFT_FRACTION / WINDOW_SECONDS;
  }

  /**
   * Sets the weights before the first request; later calls have no effect.
   *
   * @param initial the weights by region, from 0 to 1; their sum is 1
   * @param nowNanos the current time of the monotonic clock in ns
   */
  synchronized void start(Map<String, Double> initial, long nowNanos) {
    if (weights.isEmpty()) {
      weights.putAll(initial);
      lastNanos = nowNanos;
    }
  }

  synchronized boolean isStarted() {
    return !weights.isEmpty();
  }

  /**
   * Shifts weight to the preferred region and selects the region of this request.
   *
   * @param preferred the region expected to respond first
   * @param usable the regions that can take the request
   * @param position a number from 0 to 1 that identifies the request's object, equal for equal
   *     objects; if less than 0, the region is drawn
   * @param recentLoss whether targets were lost a short time ago
   * @param nowNanos the current time of the monotonic clock in ns
   * @return a usable region, null if none of the usable ones has a weight yet
   */
  synchronized @Nullable String select(
      String preferred, Set<String> usable, double position, boolean recentLoss, long nowNanos) {
    shift(preferred, recentLoss, nowNanos);
    return position < 0 ? draw(usable, draws.next()) : rank(usable, position);
  }

  /**
   * Returns the region that {@link #select} would select for an object without a shift.
   *
   * @param usable the regions that can take the request
   * @param position a number from 0 to 1 that identifies the object
   * @return a usable region, null if none of them has a weight yet
   */
  synchronized @Nullable String peek(Set<String> usable, double position) {
    return rank(usable, position);
  }

  private void shift(String preferred, boolean recentLoss, long nowNanos) {
    double seconds = Math.max(0, (nowNanos - lastNanos) / 1e9);
    lastNanos = nowNanos;
    double fraction = 1 - Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    double maxMove = maxShiftPerSecond * Math.min(seconds, WINDOW_SECONDS);
    if (recentLoss) {
      maxMove *= LOSS_SHIFT_FACTOR;
    }
    double wantedMove = fraction * (1 - weights.getOrDefault(preferred, 0.0));
    double moved = Math.min(wantedMove, maxMove);
    double otherWeight = 1 - weights.getOrDefault(preferred, 0.0);
    if (otherWeight <= 0) {
      return;
    }
    double keptFraction = 1 - moved / otherWeight;
    weights.replaceAll(
        (region, weight) -> region.equals(preferred) ? weight : weight * keptFraction);
    weights.merge(preferred, moved, Double::sum);
  }

  /**
   * Returns the region of an object.
   *
   * <p>A shift scales the weights of all regions but the preferred one by the same factor, which
   * leaves their order for each object as it is. It therefore moves objects only to the preferred
   * region, and only as many as weight.
   */
  private @Nullable String rank(Set<String> usable, double position) {
    if (usableWeight(usable) < MIN_USABLE_WEIGHT) {
      return null;
    }
    WeightedRendezvous<String> ranking = new WeightedRendezvous<>(1);
    long objectHash = Double.doubleToLongBits(position);
    for (Map.Entry<String, Double> entry : weights.entrySet()) {
      String region = entry.getKey();
      if (usable.contains(region)) {
        ranking.add(region, Hashing.mix(Hashing.of(region) ^ objectHash), entry.getValue());
      }
    }
    return ranking.toList().get(0);
  }

  private double usableWeight(Set<String> usable) {
    double sum = 0;
    for (Map.Entry<String, Double> entry : weights.entrySet()) {
      if (usable.contains(entry.getKey())) {
        sum += entry.getValue();
      }
    }
    return sum;
  }

  private @Nullable String draw(Set<String> usable, double position) {
    double sum = usableWeight(usable);
    if (sum < MIN_USABLE_WEIGHT) {
      return null;
    }
    double remaining = position * sum;
    String selected = null;
    for (Map.Entry<String, Double> entry : weights.entrySet()) {
      if (!usable.contains(entry.getKey())) {
        continue;
      }
      selected = entry.getKey();
      remaining -= entry.getValue();
      if (remaining < 0) {
        break;
      }
    }
    return selected;
  }

  /** Returns the weight of a region from 0 to 1, for tests and the state dump. */
  synchronized double weight(String region) {
    return weights.getOrDefault(region, 0.0);
  }
}
