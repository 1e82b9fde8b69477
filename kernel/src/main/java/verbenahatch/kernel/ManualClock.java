package verbenahatch.kernel;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Advances only by calls to {@link #advance(Duration)}.
 *
 * <p>Tests and measurements use it to run the production classes on simulated time. Both readings
 * advance together. Thread-safe.
 */
public final class ManualClock implements Clock {

  private final AtomicLong nanos = new AtomicLong(1);
  private final long wallStartMillis;

  /**
   * Creates a clock that starts at a wall-clock time.
   *
   * @param wallStartMillis milliseconds since 1970-01-01T00:00:00Z
   */
  public ManualClock(long wallStartMillis) {
    this.wallStartMillis = wallStartMillis;
  }

  /** Creates a clock that starts at 1970-01-01T00:00:00Z. */
  public ManualClock() {
    this(0);
  }

  /**
   * Moves both readings forward.
   *
   * @param step the time to add, zero or positive
   * @throws IllegalArgumentException if {@code step} is negative
   */
  public void advance(Duration step) {
    if (step.isNegative()) {
      throw new IllegalArgumentException("step is negative: " + step);
    }
    nanos.addAndGet(step.toNanos());
  }

  @Override
  public long nanoTime() {
    return nanos.get();
  }

  @Override
  public long wallMillis() {
    return wallStartMillis + nanos.get() / 1_000_000;
  }
}
