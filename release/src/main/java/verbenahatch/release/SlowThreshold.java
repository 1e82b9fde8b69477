package verbenahatch.release;

import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Learns from the old version which latency counts as slow on a route. Recording is thread-safe and
 * free of locks; {@link #refresh()} runs on one thread.
 */
final class SlowThreshold {

  /** Four buckets for each doubling of the latency, so a bucket is 19% wide. */
  private static final int BUCKETS_PER_DOUBLING = 4;

  private static final int BUCKETS = 64 * BUCKETS_PER_DOUBLING;
  private static final double QUANTILE = 0.95;

  /** Slow means above this multiple of the quantile, so that noise of the old version is rare. */
  private static final double FACTOR = 1.5;

  /** Below this number of samples the quantile is too uncertain. */
  private static final long MIN_SAMPLES = 200;

  private final AtomicLongArray buckets = new AtomicLongArray(BUCKETS);
  private volatile long slowNanos = Long.MAX_VALUE;

  void recordOld(long latencyNanos) {
    buckets.incrementAndGet(bucket(latencyNanos));
  }

  boolean isSlow(long latencyNanos) {
    return latencyNanos > slowNanos;
  }

  /** Recomputes the threshold and halves the weight of what was recorded before. */
  void refresh() {
    long total = 0;
    for (int i = 0; i < BUCKETS; i++) {
      total += buckets.get(i);
    }
    if (total < MIN_SAMPLES) {
      return;
    }
    long seen = 0;
    int quantile = 0;
    while (quantile < BUCKETS - 1 && seen + buckets.get(quantile) < total * QUANTILE) {
      seen += buckets.get(quantile);
      quantile++;
    }
    slowNanos = (long) (upperBound(quantile) * FACTOR);
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
