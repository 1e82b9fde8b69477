package verbenahatch.routing;

/**
 * Paces how much work this host sends to one other region, and holds it steady.
 *
 * <p>The allowance grows by at most 10% of the region's capacity per second, divided among the
 * hosts, and only while it is used up; it shrinks at the same pace once little of it is used.
 * Between the two marks it stays, so that work does not go back and forth. Thread-safe.
 */
public final class SpillPacer {

  /** Part of a region's capacity that may move per second; caches there need time to fill. */
  static final double PART_PER_SECOND = 0.1;

  /** The allowance grows above this use and shrinks below the lower one. */
  static final double GROW_ABOVE = 0.9;

  static final double SHRINK_BELOW = 0.5;

  private double allowance;
  private long lastNanos;
  private double highestUse;

  /**
   * Creates a pacer.
   *
   * @param nowNanos the time
   */
  public SpillPacer(long nowNanos) {
    this.lastNanos = nowNanos;
  }

  /**
   * Tells whether one more request may go to the region.
   *
   * @param inFlight the requests of this host there
   * @param capacity the slots of the region for all hosts
   * @param hosts the number of hosts that may send there, at least 1
   * @param nowNanos the time
   * @return true if it may
   */
  public synchronized boolean allows(int inFlight, int capacity, int hosts, long nowNanos) {
    double step = PART_PER_SECOND * capacity / Math.max(1, hosts);
    // One request is always allowed, otherwise a small region would never be tried.
    double floor = Math.max(1, step);
    highestUse = Math.max(highestUse, (inFlight + 1) / Math.max(floor, allowance));
    double seconds = (nowNanos - lastNanos) / 1e9;
    if (seconds >= 0.1) {
      double change = step * Math.min(seconds, 1);
      if (highestUse > GROW_ABOVE) {
        allowance = Math.min(capacity, Math.max(floor, allowance) + change);
      } else if (highestUse < SHRINK_BELOW) {
        allowance = Math.max(floor, allowance - change);
      }
      highestUse = 0;
      lastNanos = nowNanos;
    }
    return inFlight + 1 <= Math.max(floor, allowance);
  }
}
