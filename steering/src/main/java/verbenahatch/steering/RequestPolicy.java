package verbenahatch.steering;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/**
 * Derives from route and workspace where a request may run, how long it may wait for a slot and
 * when it is retried or hedged.
 */
final class RequestPolicy {

  /** Assumed remaining time of a caller if no route defines it. */
  static final long DEFAULT_REMAINING_MILLIS = 1_000;

  /** With less remaining time than this, a retry is not worthwhile. */
  private static final long MIN_RETRY_MILLIS = 100;

  /** Upper bound of the retry pause of a refused caller as a fraction of its remaining time. */
  private static final double RETRY_AFTER_FRACTION = 0.3;

  /** Longest retry pause of a refused caller; the pause lets queues at targets shorten. */
  private static final double MAX_RETRY_AFTER_MILLIS = 250;

  /** A target that takes this many times the expected time may have lost the request. */
  private static final double HEDGE_FACTOR = 3;

  /** Shortest delay of a hedged request; a shorter one would hedge requests that only queue. */
  private static final double MIN_HEDGE_DELAY_MILLIS = 500;

  /** After this fraction of the time another target is unlikely to respond before the deadline. */
  private static final double MAX_HEDGE_DELAY_FRACTION = 0.6;

  /** Longest wait of a request that is late anyway, as a fraction of its target latency. */
  private static final double LATE_WAIT_FRACTION = 0.15;

  /** Requests of urgent priority may wait this many times as long as others. */
  private static final double URGENT_WAIT_FACTOR = 2;

  /** Priorities up to this number are urgent. */
  private static final int URGENT_PRIORITY = 1;

  private RequestPolicy() {}

  /** Returns the regions in which a request may run; empty if it may run in all. */
  static Set<String> allowedRegions(SteeringRoute route, @Nullable SteeringWorkspace workspace) {
    if (workspace == null || workspace.allowedRegions().isEmpty()) {
      return route.allowedRegions();
    }
    if (route.allowedRegions().isEmpty()) {
      return workspace.allowedRegions();
    }
    Set<String> common = new HashSet<>(route.allowedRegions());
    common.retainAll(workspace.allowedRegions());
    // No region has the empty string as its name, so such a request cannot run anywhere.
    return common.isEmpty() ? Set.of("") : common;
  }

  /** Returns the time in ms for which a request may wait for a slot even if it is late then. */
  static double maxLateWaitMillis(SteeringRoute route, @Nullable SteeringWorkspace workspace) {
    boolean hasOwnPriority = workspace != null && workspace.priority() >= 0;
    int priority = hasOwnPriority && workspace != null ? workspace.priority() : route.priority();
    double maxWaitMillis = route.targetLatencyMillis() * LATE_WAIT_FRACTION;
    return priority <= URGENT_PRIORITY ? maxWaitMillis * URGENT_WAIT_FACTOR : maxWaitMillis;
  }

  /** Returns whether a request may be sent once more, given its attempts and remaining time. */
  static boolean mayRetry(SteeringRoute route, int attempts, long remainingMillis) {
    return attempts < Math.max(1, route.maxAttempts()) && remainingMillis > MIN_RETRY_MILLIS;
  }

  /** Returns the time in ms after which an attempt takes unusually long, from its expected time. */
  static double overdueMillis(double expectedMillis) {
    return Math.max(MIN_HEDGE_DELAY_MILLIS, expectedMillis * HEDGE_FACTOR);
  }

  /** Returns the delay in ms after which a request is hedged; -1 if it is not hedged. */
  static long hedgeDelayMillis(
      Choice choice, SteeringRoute route, int attempts, long remainingMillis) {
    if (!route.idempotent() || attempts >= route.maxAttempts()) {
      return -1;
    }
    double delayMillis = overdueMillis(choice.expectedMillis());
    return delayMillis > remainingMillis * MAX_HEDGE_DELAY_FRACTION ? -1 : (long) delayMillis;
  }

  /**
   * Returns the seconds after which a refused caller should retry, with two decimals.
   *
   * @param remainingMillis the time in ms for which the caller will wait
   * @param backOffMillis the time in ms for which it is known that no target takes the request; 0
   *     if unknown
   */
  static String retryAfterSeconds(double remainingMillis, long backOffMillis) {
    double longestMillis = Math.max(0, remainingMillis) * RETRY_AFTER_FRACTION;
    double usefulMillis = Math.max(MAX_RETRY_AFTER_MILLIS, backOffMillis);
    return String.format(Locale.ROOT, "%.2f", Math.min(usefulMillis, longestMillis) / 1_000);
  }
}
