package verbenahatch.release;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Derives from the latencies of the old version which latency counts as slow on a route. Recording
 * is thread-safe and lock-free; {@link #refresh()} must be called by one thread.
 */
final class SlowThreshold {

  /** Four buckets for each doubling of the latency, so a bucket is 19% wide. */
  private static final int BUCKETS_PER_DOUBLING = 4;

  private static final int BUCKETS = 64 * BUCKETS_PER_DOUBLING;
  private static final double QUANTILE = 0.95;

  /**
   * A latency is slow above this multiple of the quantile, so that few requests of the old version
   * count as slow by chance.
   */
  private static final double FACTOR = 1.5;

  /**
   * Below this number of samples the quantile is too uncertain, and the threshold stays unchanged.
   */
  private static final long MIN_SAMPLES = 200;

  private final AtomicLongArray buckets = new AtomicLongArray(BUCKETS);
  private volatile long slowNanos = Long.MAX_VALUE;

  void recordOld(long latencyNanos) {
    buckets.incrementAndGet(bucket(latencyNanos));
  }

  boolean isSlow(long latencyNanos) {
    return latencyNanos > slowNanos;
  }

  /** Recomputes the threshold and halves the weight of the samples recorded so far. */
  void refresh() {
    long total = 0;
    for (int i = 0; i < BUCKETS; i++) {
      total += buckets.get(i);
    }
    if (total < MIN_SAMPLES) {
      return;
    }
    long cumulative = 0;
    int quantileBucket = 0;
    while (quantileBucket < BUCKETS - 1
        && cumulative + buckets.get(quantileBucket) < total * QUANTILE) {
      cumulative += buckets.get(quantileBucket);
      quantileBucket++;
    }
    slowNanos = (long) (upperBound(quantileBucket) * FACTOR);
    for (int i = 0; i < BUCKETS; i++) {
      buckets.addAndGet(i, -(buckets.get(i) / 2));
    }
  }

  private static int bucket(long nanos) {
    double doublings = Math.log(Math.max(1, nanos)) / Math.log(2);
    return Math.min(BUCKETS - 1, (int) (doublings * BUCKETS_PER_DOUBLING));
  }

  private static double upperBound(int bucket) {
    return Math.pow(2, (bucket + 1) / (double) BUCKETS_PER_DOUBLING);
  }
}
