package verbenahatch.release;

/**
 * Counts the outcomes of both versions on one route.
 *
 * @param newRequests the number of requests that the new version handled
 * @param newFailures the number of these that failed
 * @param newSlow the number of these that succeeded slowly
 * @param oldRequests the number of requests that the old version handled
 * @param oldFailures the number of these that failed
 * @param oldSlow the number of these that succeeded slowly
 */
public record RouteCounts(
    long newRequests,
    long newFailures,
    long newSlow,
    long oldRequests,
    long oldFailures,
    long oldSlow) {

  /** No outcomes. */
  public static final RouteCounts NONE = new RouteCounts(0, 0, 0, 0, 0, 0);

  /**
   * Adds counts.
   *
   * @param other the counts to add
   * @return the sums
   */
  public RouteCounts plus(RouteCounts other) {
    return new RouteCounts(
        newRequests + other.newRequests,
        newFailures + other.newFailures,
        newSlow + other.newSlow,
        oldRequests + other.oldRequests,
        oldFailures + other.oldFailures,
        oldSlow + other.oldSlow);
  }

  /**
   * Subtracts counts.
   *
   * @param other the counts to subtract
   * @return the differences
   */
  public RouteCounts minus(RouteCounts other) {
    return new RouteCounts(
        newRequests - other.newRequests,
        newFailures - other.newFailures,
        newSlow - other.newSlow,
        oldRequests - other.oldRequests,
        oldFailures - other.oldFailures,
        oldSlow - other.oldSlow);
  }

  /** Returns whether a count is negative, as in a difference after the reporting host restarted. */
  boolean hasNegative() {
    return newRequests < 0
        || newFailures < 0
        || newSlow < 0
        || oldRequests < 0
        || oldFailures < 0
        || oldSlow < 0;
  }
}
