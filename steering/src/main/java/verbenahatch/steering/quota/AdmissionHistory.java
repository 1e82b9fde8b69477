package verbenahatch.steering.quota;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Reconstructs when a coordinator admitted requests from its reports of how many it admitted within
 * the quota window, so that a host that replaces it knows when they leave the window.
 *
 * <p>Thread-safe. Admissions count as made when the report that first shows them arrives, so they
 * leave the window too late rather than too early.
 */
final class AdmissionHistory {

  private record Entry(double requests, long atNanos) {}

  private final long windowNanos;
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private double sum;
  private long updatedNanos;

  /**
   * Creates an empty history.
   *
   * @param windowMillis the quota window in milliseconds
   * @param nowNanos the monotonic time of the creation in nanoseconds
   */
  AdmissionHistory(long windowMillis, long nowNanos) {
    updatedNanos = nowNanos;
    windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
  }

  /**
   * Records a report.
   *
   * <p>While the reported number stays the same, new admissions replace those that leave the
   * window; there are at most as many as requests.
   *
   * @param admitted the requests that were admitted within the window before the report
   * @param perSecond the requests per second, refused ones included
   * @param nowNanos the monotonic time of its arrival in nanoseconds
   */
  synchronized void update(double admitted, double perSecond, long nowNanos) {
    expire(nowNanos);
    double requests = perSecond * (nowNanos - updatedNanos) / 1e9;
    updatedNanos = nowNanos;
    double added = Math.min(admitted, Math.max(admitted - sum, requests));
    entries.addLast(new Entry(added, nowNanos));
    sum += added;
    while (sum > admitted && !entries.isEmpty()) {
      Entry oldest = entries.removeFirst();
      double kept = Math.max(0, oldest.requests - (sum - admitted));
      sum -= oldest.requests - kept;
      if (kept > 0) {
        entries.addFirst(new Entry(kept, oldest.atNanos));
        break;
      }
    }
  }

  /** Returns the requests that are still within the window at a monotonic time in nanoseconds. */
  synchronized double remaining(long nowNanos) {
    expire(nowNanos);
    return sum;
  }

  private void expire(long nowNanos) {
    while (!entries.isEmpty() && nowNanos - entries.getFirst().atNanos > windowNanos) {
      sum -= entries.removeFirst().requests;
    }
    if (entries.isEmpty()) {
      sum = 0;
    }
  }
}
