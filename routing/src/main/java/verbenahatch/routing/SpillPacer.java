package verbenahatch.routing;

/**
 * Limits how fast the number of requests that this host sends to one other region changes, and
 * keeps it stable.
 *
 * <p>The allowance, in requests in flight, grows by at most 10% of the region's capacity per
 * second, divided among the hosts, and only while it is used up; it shrinks at the same rate once
 * little of it is used. Between the two thresholds it stays unchanged, so that load does not
 * oscillate between regions. Thread-safe.
 */
public final class SpillPacer {

  /**
   * Fraction of a region's capacity by which load may change per second; caches there need time to
   * fill.
   */
  static final double MAX_CHANGE_PER_SECOND = 0.1;

  /** The allowance grows above this utilization and shrinks below the lower threshold. */
  static final double GROW_ABOVE = 0.9;

  static final double SHRINK_BELOW = 0.5;

  private double allowance;
  private long lastUpdateNanos;
  private double peakUtilization;

  /**
   * Creates a pacer with an allowance of 0.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public SpillPacer(long nowNanos) {
    this.lastUpdateNanos = nowNanos;
  }

  /**
   * Returns whether one more request may be sent to the region. One request at a time is always
   * allowed.
   *
   * @param inFlight the number of this host's requests in flight in the region
   * @param capacity the number of slots of the region, for all hosts
   * @param hosts the number of hosts that may send there, at least 1
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return true if the request is within the allowance
   */
  public synchronized boolean allows(int inFlight, int capacity, int hosts, long nowNanos) {
    double changePerSecond = MAX_CHANGE_PER_SECOND * capacity / Math.max(1, hosts);
    // One request is always allowed, otherwise a small region would never receive any.
    double minAllowance = Math.max(1, changePerSecond);
    peakUtilization = Math.max(peakUtilization, (inFlight + 1) / Math.max(minAllowance, allowance));
    double elapsedSeconds = (nowNanos - lastUpdateNanos) / 1e9;
    if (elapsedSeconds >= 0.1) {
      double change = changePerSecond * Math.min(elapsedSeconds, 1);
      if (peakUtilization > GROW_ABOVE) {
        allowance = Math.min(capacity, Math.max(minAllowance, allowance) + change);
      } else if (peakUtilization < SHRINK_BELOW) {
        allowance = Math.max(minAllowance, allowance - change);
      }
      peakUtilization = 0;
      lastUpdateNanos = nowNanos;
    }
    return inFlight + 1 <= Math.max(minAllowance, allowance);
  }
}
