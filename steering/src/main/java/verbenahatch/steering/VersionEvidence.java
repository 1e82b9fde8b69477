package verbenahatch.steering;

/**
 * Decides what the end of an attempt tells about the version of its target.
 *
 * <p>Detects a version that is slow for a part of its requests. Most of those attempts never
 * respond: this host aborts them because a hedged request was faster, the deadline passed or the
 * caller left. They count as bad if they were overdue by then; a shorter one tells nothing. Takes
 * no input but times in ms; has no state.
 */
enum VersionEvidence {
  /** The attempt counts in favor of the version. */
  GOOD,
  /** The attempt counts against the version. */
  BAD,
  /** The attempt tells nothing about the version. */
  NONE;

  /** A response slower than this multiple of the cold time counts against its version. */
  private static final double SLOW_RESPONSE_FACTOR = 2.5;

  /**
   * Returns what a response tells.
   *
   * @param failed whether its status tells a failure
   * @param millis the time from the start of the attempt to the response
   * @param coldMillis the mean time for objects that are in no cache
   * @param coldTarget whether the target has started recently, which explains a slow response
   */
  static VersionEvidence ofResponse(
      boolean failed, double millis, double coldMillis, boolean coldTarget) {
    boolean slow = millis > coldMillis * SLOW_RESPONSE_FACTOR;
    return failed || (slow && !coldTarget) ? BAD : GOOD;
  }

  /**
   * Returns what an attempt tells that this host aborted.
   *
   * @param millis the time from the start of the attempt to its end
   * @param expectedMillis the time that was expected when the target was chosen
   * @param coldTarget whether the target has started recently, which explains a slow response
   */
  static VersionEvidence ofAborted(double millis, double expectedMillis, boolean coldTarget) {
    boolean overdue = millis >= RequestPolicy.overdueMillis(expectedMillis);
    return overdue && !coldTarget ? BAD : NONE;
  }
}
