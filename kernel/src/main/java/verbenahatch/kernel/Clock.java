package verbenahatch.kernel;

/**
 * Supplies monotonic and wall-clock time.
 *
 * <p>Leases, freshness and deadlines use {@link #nanoTime()} only, because wall-clock time can
 * jump; wall-clock time is used for display and for release schedules.
 */
public interface Clock {

  /**
   * Returns the clock of the running process.
   *
   * @return a thread-safe clock
   */
  static Clock system() {
    return SystemClock.INSTANCE;
  }

  /**
   * Reads the monotonic clock; only differences between two readings are meaningful.
   *
   * @return the reading in nanoseconds from an arbitrary origin
   */
  long nanoTime();

  /**
   * Reads the wall clock.
   *
   * @return milliseconds since 1970-01-01T00:00:00Z
   */
  long wallMillis();
}
