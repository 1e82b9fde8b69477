package verbenahatch.steering.quota;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * Counts the events of a sliding window of time.
 *
 * <p>Thread-safe. The window is divided into buckets; an event counts for the whole window and up
 * to one bucket longer, never shorter.
 */
final class SlidingWindowCounter {

  /** Buckets of a window; an event counts too long by at most a twentieth of the window. */
  private static final int BUCKETS = 20;

  /**
   * Holds the conditions under which an event may be added.
   *
   * @param limit the events allowed within the window; 0 or less allows none
   * @param share the fraction of the headroom left by older events that recent events may use, from
   *     0 to 1
   * @param othersRecent the recent events of others; the share is one of the headroom and of these
   * @param rounding added to that portion of the headroom, less than 1
   * @param recentMillis the time in milliseconds for which an event is recent, extended to the
   *     start of its bucket
   */
  record Allowance(
      double limit, double share, double othersRecent, double rounding, long recentMillis) {

    Allowance(double limit, double share, double rounding, long recentMillis) {
      this(limit, share, 0, rounding, recentMillis);
    }
  }

  private final long bucketNanos;
  private final int[] counts = new int[BUCKETS + 1];
  private long newestBucket;
  private int sum;

  /**
   * Creates a counter without events.
   *
   * @param windowMillis the window in milliseconds, at least 1
   */
  SlidingWindowCounter(long windowMillis) {
    bucketNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMillis) / BUCKETS);
    newestBucket = Long.MIN_VALUE;
  }

  /** Returns the number of events within the window that ends at a monotonic time. */
  synchronized int count(long nowNanos) {
    advance(nowNanos);
    return sum;
  }

  /** Adds an event without a limit. */
  synchronized void add(long nowNanos) {
    advance(nowNanos);
    counts[index(newestBucket)]++;
    sum++;
  }

  /**
   * Adds an event if the recent events leave enough headroom for it.
   *
   * @param allowance the conditions
   * @param nowNanos the monotonic time of the event in nanoseconds
   * @return whether the event was added
   */
  synchronized boolean tryAdd(Allowance allowance, long nowNanos) {
    if (!allows(allowance, nowNanos)) {
      return false;
    }
    counts[index(newestBucket)]++;
    sum++;
    return true;
  }

  /** Returns whether {@link #tryAdd} would add an event, without adding it. */
  synchronized boolean allows(Allowance allowance, long nowNanos) {
    advance(nowNanos);
    int recent = recent(allowance);
    double headroom = allowance.limit - (sum - recent);
    double shared = (headroom + allowance.othersRecent) * allowance.share;
    return headroom > 0 && recent + 1 <= Math.min(headroom, shared) + allowance.rounding;
  }

  /**
   * Returns how many events {@link #tryAdd} would add at a time, and adds none.
   *
   * @param allowance the conditions
   * @param nowNanos the monotonic time in nanoseconds
   */
  synchronized int remaining(Allowance allowance, long nowNanos) {
    advance(nowNanos);
    int recent = recent(allowance);
    double headroom = allowance.limit - (sum - recent);
    if (headroom <= 0) {
      return 0;
    }
    return (int) Math.max(0, Math.floor(headroom * allowance.share + allowance.rounding) - recent);
  }

  private int recent(Allowance allowance) {
    long recentBuckets = TimeUnit.MILLISECONDS.toNanos(allowance.recentMillis) / bucketNanos;
    int recent = 0;
    for (int i = 0; i <= Math.min(BUCKETS, recentBuckets); i++) {
      recent += counts[index(newestBucket - i)];
    }
    return recent;
  }

  private void advance(long nowNanos) {
    long bucket = Math.floorDiv(nowNanos, bucketNanos);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
      Arrays.fill(counts, 0);
      sum = 0;
      newestBucket = bucket;
      return;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      int index = index(newestBucket);
      sum -= counts[index];
      counts[index] = 0;
    }
  }

  private static int index(long bucket) {
    return Math.floorMod(bucket, BUCKETS + 1);
  }
}
