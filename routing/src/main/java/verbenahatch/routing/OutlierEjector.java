package verbenahatch.routing;

import java.util.List;

/**
 * Ejects targets that fail while other targets of the service do not.
 *
 * <p>At most a third of a service's targets is ejected at a time: if more fail, the fault is more
 * likely shared by all targets, and the remaining ones would be overloaded. Thread-safe.
 */
public final class OutlierEjector {

  /** Number of consecutive failures after which a target is ejected. */
  static final int CONSECUTIVE_FAILURES = 5;

  /** Failure rate above which a target is ejected. */
  static final double MAX_FAILURE_RATE = 0.5;

  /** Number of outcomes that are needed before the failure rate is considered. */
  static final int MIN_OUTCOMES = 10;

  /** Duration of the first ejection; each further ejection doubles it. */
  static final long FIRST_EJECTION_NANOS = 5_000_000_000L;

  private static final int MAX_DOUBLINGS = 4;
  private static final int MAX_EJECTED_DIVISOR = 3;

  /**
   * Ejects a target if its outcomes show a fault and few enough other targets are ejected.
   *
   * @param target the target
   * @param serviceTargets all targets of its service
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return true if this call ejected the target
   */
  public synchronized boolean ejectIfOutlier(
      TargetState target, List<TargetState> serviceTargets, long nowNanos) {
    if (target.isEjected(nowNanos) || !isOutlier(target)) {
      return false;
    }
    int ejected = 0;
    for (TargetState state : serviceTargets) {
      if (state.isEjected(nowNanos)) {
        ejected++;
      }
    }
    if ((ejected + 1) * MAX_EJECTED_DIVISOR > serviceTargets.size()) {
      return false;
    }
    int doublings = Math.min(target.ejections(), MAX_DOUBLINGS);
    target.eject(nowNanos + (FIRST_EJECTION_NANOS << doublings));
    return true;
  }

  private static boolean isOutlier(TargetState state) {
    return state.consecutiveFailures() >= CONSECUTIVE_FAILURES
        || (state.outcomes() >= MIN_OUTCOMES && state.failureRate() > MAX_FAILURE_RATE);
  }

  /**
   * Resets the number of ejections of a target that succeeds again.
   *
   * @param state the target
   */
  public void resetIfRecovered(TargetState state) {
    if (state.ejections() > 0
        && state.outcomes() > MIN_OUTCOMES
        && state.consecutiveFailures() == 0) {
      state.resetEjections();
    }
  }
}
