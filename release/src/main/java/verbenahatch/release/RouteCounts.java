package verbenahatch.release;

/**
 * Counts the outcomes of both versions on one route.
 *
 * @param newRequests requests that the new version answered
 * @param newFailures of these, how many failed
 * @param newSlow of these, how many succeeded slowly
 * @param oldRequests requests that the old version answered
 * @param oldFailures of these, how many failed
 * @param oldSlow of these, how many succeeded slowly
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

  /** Tells whether a count fell, as after a restart of the host that reported it. */
  boolean hasNegative() {
    return newRequests < 0
        || newFailures < 0
        || newSlow < 0
        || oldRequests < 0
        || oldFailures < 0
        || oldSlow < 0;
  }
}
