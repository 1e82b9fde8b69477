package verbenahatch.steering;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/**
 * Derives from route and workspace where a request may run, how long it waits and when to repeat.
 */
final class RequestPolicy {

  /** Time for which a caller is taken to wait if no route says it. */
  static final long UNKNOWN_WAIT_MILLIS = 1_000;

  /** A caller comes back after a refusal within this part of the time it has left. */
  private static final double RETRY_AFTER_PART = 0.3;

  /** Pause that a refused caller is asked for, so that queues at targets shorten. */
  private static final double MAX_RETRY_AFTER_MILLIS = 250;

  /** A target that takes this many times the expected time may have lost the request. */
  private static final double SLOW_FACTOR = 3;

  /** Shortest time before a further target is tried; shorter ones hit targets that only queue. */
  private static final double MIN_PATIENCE_MILLIS = 500;

  /** After this part of the time a further target is unlikely to answer before the time is over. */
  private static final double MAX_PATIENCE_PART = 0.6;

  /** A request that is late anyway may wait for this part of its target latency. */
  private static final double LATE_WAIT_PART = 0.15;

  /** Requests of the highest ranks may wait this many times as long as others. */
  private static final double URGENT_WAIT_FACTOR = 2;

  /** Ranks up to this one are urgent. */
  private static final int URGENT_PRIORITY = 1;

  private RequestPolicy() {}

  /** Returns the regions in which a request may run; empty if all may. */
  static Set<String> homes(SteeringRoute route, @Nullable SteeringWorkspace workspace) {
    if (workspace == null || workspace.allowedRegions().isEmpty()) {
      return route.allowedRegions();
    }
    if (route.allowedRegions().isEmpty()) {
      return workspace.allowedRegions();
    }
    Set<String> both = new HashSet<>(route.allowedRegions());
    both.retainAll(workspace.allowedRegions());
    // No region is named by the empty text, so such a request runs nowhere.
    return both.isEmpty() ? Set.of("") : both;
  }

  /** Returns how long a request may wait for a slot even if its answer is late then. */
  static double longestWaitMillis(SteeringRoute route, @Nullable SteeringWorkspace workspace) {
    boolean ranked = workspace != null && workspace.priority() >= 0;
    int priority = ranked && workspace != null ? workspace.priority() : route.priority();
    double most = route.targetLatencyMillis() * LATE_WAIT_PART;
    return priority <= URGENT_PRIORITY ? most * URGENT_WAIT_FACTOR : most;
  }

  /** Returns the time after which a further target is tried beside a slow one; -1 if none is. */
  static long patienceMillis(
      Choice choice, SteeringRoute route, int attempt, long remainingMillis) {
    if (!route.idempotent() || attempt >= route.maxAttempts()) {
      return -1;
    }
    double expected = choice.workMillis() + choice.waitMillis();
    double patience = Math.max(MIN_PATIENCE_MILLIS, expected * SLOW_FACTOR);
    return patience > remainingMillis * MAX_PATIENCE_PART ? -1 : (long) patience;
  }

  /** Returns the seconds after which a refused caller should come back, as text. */
  static String retryAfterSeconds(double remainingMillis) {
    double part = Math.max(0, remainingMillis) * RETRY_AFTER_PART;
    return String.format(Locale.ROOT, "%.2f", Math.min(MAX_RETRY_AFTER_MILLIS, part) / 1_000);
  }
}
