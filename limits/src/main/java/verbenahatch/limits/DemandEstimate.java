package verbenahatch.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Estimates how much of a limit the callers of this host request.
 *
 * <p>The estimate is an exponentially weighted average over {@link #TIME_CONSTANT_NANOS}.
 * Thread-safe; requests are counted without a lock.
 */
public final class DemandEstimate {

  /**
   * Time constant of the average. Half a second is short enough to follow callers that move to
   * another host within the time that requests wait for shares, and long enough to smooth a rate of
   * a few requests a second.
   */
  static final long TIME_CONSTANT_NANOS = 500_000_000L;

  private final AtomicLong requested = new AtomicLong();
  private double perSecond;
  private long updatedAtNanos;

  /**
   * Creates an estimate of zero.
   *
   * @param nowNanos the reading of the monotonic clock in nanoseconds
   */
  public DemandEstimate(long nowNanos) {
    this.updatedAtNanos = nowNanos;
  }

  /**
   * Counts a requested amount, whether or not it is admitted.
   *
   * @param amount millionths of a token
   */
  public void count(long amount) {
    requested.addAndGet(amount);
  }

  /**
   * Updates the estimate with the amounts counted since the last update.
   *
   * @param nowNanos the reading of the monotonic clock in nanoseconds; a reading that is not later
   *     than the last one changes nothing
   * @return the estimate in millionths of a token per second
   */
  public synchronized long update(long nowNanos) {
    long elapsedNanos = nowNanos - updatedAtNanos;
    if (elapsedNanos > 0) {
      double decay = Math.exp(-(double) elapsedNanos / TIME_CONSTANT_NANOS);
      double recentPerSecond = requested.getAndSet(0) * 1e9 / elapsedNanos;
      perSecond = perSecond * decay + recentPerSecond * (1 - decay);
      updatedAtNanos = nowNanos;
    }
    return (long) perSecond;
  }
}
