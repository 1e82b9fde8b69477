package verbenahatch.steering;

/**
 * Estimates the processing times of a service or route for objects in the cache of a target and for
 * others.
 *
 * <p>Answers a fleet in which each host sees few requests: an object returns to the same host too
 * rarely to learn from requests that are known to be warm. Each measured time is therefore assigned
 * to the nearer of the two estimates, whatever was expected of the request, and the first ones
 * count fully. Thread-safe; takes no input but the measured times.
 */
final class ProcessingTimes {

  /** Assumed warm time before the first one was measured, in ms. */
  private static final double INITIAL_WARM_MILLIS = 500;

  /** Assumed cold time relative to the warm one until it is measured. */
  private static final double INITIAL_COLD_RATIO = 2.5;

  /** Lower bound of the cold time relative to the warm one. */
  private static final double MIN_COLD_RATIO = 1.3;

  /** Least weight of the newest time in an estimate; the first times have a larger one. */
  private static final double MIN_WEIGHT = 0.06;

  /**
   * Requests without a sign of a cache after which no extra time for cold objects is assumed, if
   * none of them was slower than the others.
   */
  private static final int COLD_EVIDENCE = 12;

  private double warmMillis = INITIAL_WARM_MILLIS;
  private double coldMillis = INITIAL_WARM_MILLIS * INITIAL_COLD_RATIO;
  private int warmCount;
  private int coldCount;
  private int fastColdCount;

  /** Returns the number of measured times. */
  synchronized int count() {
    return warmCount + coldCount;
  }

  /** Returns the mean time for objects in the cache of a target, in ms. */
  synchronized double warmMillis() {
    return warmMillis;
  }

  /** Returns the mean time for objects that are in no cache, in ms. */
  synchronized double coldMillis() {
    if (coldCount > 0) {
      return Math.max(coldMillis, warmMillis * MIN_COLD_RATIO);
    }
    boolean cacheHasNoEffect = fastColdCount >= COLD_EVIDENCE;
    return warmMillis * (cacheHasNoEffect ? MIN_COLD_RATIO : INITIAL_COLD_RATIO);
  }

  /** Returns the estimate that is nearer to a time in ms, by their ratio. */
  synchronized double nearestMillis(double millis) {
    return isNearerToCold(millis) ? coldMillis() : warmMillis;
  }

  private boolean isNearerToCold(double millis) {
    return millis * millis > warmMillis * coldMillis();
  }

  /**
   * Records a processing time.
   *
   * @param expected what was known of the object at the target
   * @param millis the time in ms, without the wait for a slot
   */
  synchronized void record(CacheState expected, double millis) {
    if (isNearerToCold(millis)) {
      coldCount++;
      coldMillis = coldCount == 1 ? millis : average(coldMillis, millis, coldCount);
      return;
    }
    warmCount++;
    warmMillis = warmCount == 1 ? millis : average(warmMillis, millis, warmCount);
    if (expected == CacheState.COLD) {
      fastColdCount++;
    }
  }

  private static double average(double estimate, double newest, int count) {
    return estimate + Math.max(MIN_WEIGHT, 1.0 / count) * (newest - estimate);
  }
}
