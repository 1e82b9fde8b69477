package verbenahatch.routing;

import java.util.List;

/**
 * Takes targets out that fail while others of the service do not.
 *
 * <p>At most a third of a service's targets is out at a time: beyond that the fault is more likely
 * shared, and the rest would be overloaded. Thread-safe.
 */
public final class OutlierEjector {

  /** Failures in a row after which a target is taken out. */
  static final int FAILURES_IN_ROW = 5;

  /** Failure rate above which a target is taken out. */
  static final double FAILURE_RATE = 0.5;

  /** Outcomes needed before the rate counts. */
  static final int LEAST_OUTCOMES = 10;

  /** Length of the first ejection; each further one doubles it. */
  static final long FIRST_EJECTION_NANOS = 5_000_000_000L;

  private static final int MAX_DOUBLINGS = 4;
  private static final int LARGEST_PART = 3;

  /**
   * Checks a target after an outcome.
   *
   * @param checked the target
   * @param service all targets of its service
   * @param nowNanos the time
   * @return true if it was taken out now
   */
  public synchronized boolean ejectIfOutlier(
      TargetState checked, List<TargetState> service, long nowNanos) {
    if (checked.isEjected(nowNanos) || !isOutlier(checked)) {
      return false;
    }
    int out = 0;
    for (TargetState state : service) {
      if (state.isEjected(nowNanos)) {
        out++;
      }
    }
    if ((out + 1) * LARGEST_PART > service.size()) {
      return false;
    }
    int doublings = Math.min(checked.ejections(), MAX_DOUBLINGS);
    checked.eject(nowNanos + (FIRST_EJECTION_NANOS << doublings));
    return true;
  }

  private static boolean isOutlier(TargetState state) {
    return state.failuresInRow() >= FAILURES_IN_ROW
        || (state.outcomes() >= LEAST_OUTCOMES && state.failureRate() > FAILURE_RATE);
  }

  /**
   * Forgets earlier ejections of a target that works again.
   *
   * @param state the target
   */
  public void resetIfRecovered(TargetState state) {
    if (state.ejections() > 0 && state.outcomes() > LEAST_OUTCOMES && state.failuresInRow() == 0) {
      state.forgetEjections();
    }
  }
}
