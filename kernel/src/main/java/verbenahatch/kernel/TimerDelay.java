package verbenahatch.kernel;

/** Computes the delays of timers with a resolution of one millisecond. */
public final class TimerDelay {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private TimerDelay() {}

  /**
   * Returns the shortest whole delay after which a deadline has passed.
   *
   * <p>The delay is rounded up: a timer set to a delay that is rounded down fires up to 1 ms before
   * the deadline.
   *
   * @param deadlineNanos the deadline, a reading of {@link Clock#nanoTime()}
   * @param nowNanos the present reading
   * @return the delay in milliseconds, at least 1
   */
  public static long millisUntil(long deadlineNanos, long nowNanos) {
    return Math.max(1, -Math.floorDiv(nowNanos - deadlineNanos, NANOS_PER_MILLI));
  }
}
