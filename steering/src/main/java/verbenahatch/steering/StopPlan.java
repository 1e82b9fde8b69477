package verbenahatch.steering;

import java.util.concurrent.TimeUnit;

/**
 * Decides which requests a host accepts after SIGTERM, when targets may still begin to work on them
 * and how long the host waits for them.
 *
 * <p>Callers with a cached answer of the directory go on sending requests for up to 15 s after the
 * signal, and the platform kills the process at the end of the grace period, wherever a request is
 * then. A request may reach a target seconds after its head: bodies arrive slowly, admission takes
 * time, and targets reject requests that then go to another one. The decision at the head is
 * therefore made again before each attempt. All times count from the signal, however long the steps
 * of the stop take. Immutable.
 */
final class StopPlan {

  /**
   * Time for which new requests are served, until cached answers of the directory expire, in ms.
   */
  private static final long SERVE_MILLIS = 3_500;

  /**
   * Time for which every new request is served, in ms; a later one is served only if it ends before
   * the process does. Callers that learn of the stop late are told to go elsewhere instead.
   */
  private static final long SERVE_ALL_MILLIS = 3_000;

  /** Margin on the expected time, since the next request may take longer than the usual one. */
  private static final double EXPECTED_TIME_FACTOR = 1.4;

  /** Fraction of a short grace period in which new requests are served. */
  private static final double MAX_SERVE_FRACTION = 0.8;

  /** Time reserved for closing before the platform kills the process, in ms. */
  private static final long KILL_MARGIN_MILLIS = 400;

  private final long signalNanos;
  private final long serveAllMillis;
  private final long serveMillis;
  private final long waitMillis;

  /**
   * Creates the plan of one stop.
   *
   * @param signalNanos when SIGTERM arrived, in ns of the monotonic clock
   * @param graceMillis the time from SIGTERM to SIGKILL in ms
   */
  StopPlan(long signalNanos, long graceMillis) {
    this.signalNanos = signalNanos;
    this.serveMillis = Math.min(SERVE_MILLIS, (long) (graceMillis * MAX_SERVE_FRACTION));
    this.serveAllMillis = Math.min(SERVE_ALL_MILLIS, serveMillis);
    this.waitMillis = Math.max(serveMillis, graceMillis - KILL_MARGIN_MILLIS);
  }

  /**
   * Returns whether a new request is served.
   *
   * @param nowNanos the current time in ns
   * @param timeoutMillis the longest time in ms that the request may take; 0 if not known yet
   * @return false if it must be refused as not run
   */
  boolean accepts(long nowNanos, long timeoutMillis) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - signalNanos);
    if (elapsedMillis <= serveAllMillis) {
      return true;
    }
    return elapsedMillis <= serveMillis && elapsedMillis + timeoutMillis <= waitMillis;
  }

  /**
   * Returns whether a target may begin to work on a request that was accepted.
   *
   * <p>A request whose time limit ends before the process does may always begin. Within the time in
   * which every new request is served, another one may begin too if its expected time, with a
   * margin, ends before the process; its caller is told at once to use another host otherwise.
   *
   * @param nowNanos the current time in ns
   * @param timeoutMillis the longest time in ms that the request may still take
   * @param expectedMillis the time in ms that it is expected to take at the target; 0 if no target
   *     is chosen yet
   * @return false if it must be refused
   */
  boolean mayBegin(long nowNanos, long timeoutMillis, double expectedMillis) {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - signalNanos);
    if (elapsedMillis + timeoutMillis <= waitMillis) {
      return true;
    }
    if (elapsedMillis > serveAllMillis) {
      return false;
    }
    return elapsedMillis + expectedMillis * EXPECTED_TIME_FACTOR <= waitMillis;
  }

  /** Returns the time in ms until new requests are refused, not negative. */
  long millisUntilRefusal(long nowNanos) {
    return millisUntil(serveMillis, nowNanos);
  }

  /** Returns the time in ms for which requests in flight are waited for, not negative. */
  long millisUntilEnd(long nowNanos) {
    return millisUntil(waitMillis, nowNanos);
  }

  private long millisUntil(long millis, long nowNanos) {
    return Math.max(0, millis - TimeUnit.NANOSECONDS.toMillis(nowNanos - signalNanos));
  }
}
