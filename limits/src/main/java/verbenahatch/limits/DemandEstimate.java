package verbenahatch.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Estimates how much of a limit the callers of this host ask for.
 *
 * <p>The estimate is an exponentially weighted average over {@link #TIME_CONSTANT_NANOS}. Thread
 * safe; asks are counted without a lock.
 */
public final class DemandEstimate {

  /**
   * Time constant of the average. Half a second follows callers that move to another host within
   * the time that requests wait for shares, and is long enough to smooth a few requests a second.
   */
  static final long TIME_CONSTANT_NANOS = 500_000_000L;

  private final AtomicLong asked = new AtomicLong();
  private double perSecond;
  private long updatedAt;

  /**
   * Creates an estimate of zero.
   *
   * @param now the reading of the monotonic clock
   */
  public DemandEstimate(long now) {
    this.updatedAt = now;
  }

  /**
   * Counts an ask, whether or not it is admitted.
   *
   * @param amount millionths of a token
   */
  public void ask(long amount) {
    asked.addAndGet(amount);
  }

  /**
   * Brings the estimate up to date.
   *
   * @param now the reading of the monotonic clock
   * @return millionths of a token per second
   */
  public synchronized long update(long now) {
    long elapsed = now - updatedAt;
    if (elapsed > 0) {
      double decay = Math.exp(-(double) elapsed / TIME_CONSTANT_NANOS);
      double current = asked.getAndSet(0) * 1e9 / elapsed;
      perSecond = perSecond * decay + current * (1 - decay);
      updatedAt = now;
    }
    return (long) perSecond;
  }
}
