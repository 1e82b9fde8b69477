package verbenahatch.steering;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.routing.RetryBudget;
import verbenahatch.steering.model.WireProtocol;

/** Holds the state that all requests of a host share. Thread-safe. */
final class EntryContext {

  /**
   * Fraction of the fleet-wide retry budget that is used; the rest covers hosts that count late.
   */
  private static final double BUDGET_FRACTION = 0.6;

  /** Least number of hosts to divide the budget by, as host records may arrive after requests. */
  private static final int MIN_BUDGET_HOSTS = 8;

  /** Memory for bodies of requests that are being read or may be retried, in bytes. */
  static final long MAX_BODY_MEMORY = 64L * 1024 * 1024;

  final SteeringState state;
  final WireProtocol wire;
  final TargetPool pool;
  final Scheduler timer;
  final SteeringMetrics metrics;
  final RequestLog requestLog;
  final AtomicInteger requestsInFlight = new AtomicInteger();
  final InFlightRequests inFlight = new InFlightRequests();
  final AtomicLong bodyMemory = new AtomicLong();

  private final Map<String, RetryBudget> retryBudgets = new ConcurrentHashMap<>();

  EntryContext(
      SteeringState state,
      WireProtocol wire,
      TargetPool pool,
      Scheduler timer,
      SteeringMetrics metrics,
      RequestLog requestLog) {
    this.state = state;
    this.wire = wire;
    this.pool = pool;
    this.timer = timer;
    this.metrics = metrics;
    this.requestLog = requestLog;
  }

  /** Returns the plan of the stop of this host, null if none was requested. */
  @Nullable StopPlan stopPlan() {
    return state.stopSignal.plan();
  }

  /**
   * Returns whether a target may begin to work on a request; always true before a stop.
   *
   * @param remainingMillis the time in ms until its deadline
   * @param expectedMillis the time in ms that it is expected to take at the target; 0 if no target
   *     is chosen yet
   */
  boolean mayBegin(long remainingMillis, double expectedMillis) {
    StopPlan plan = stopPlan();
    return plan == null || plan.mayBegin(state.clock.nanoTime(), remainingMillis, expectedMillis);
  }

  /** Returns this host's retry budget for a service; creates it at the first call. */
  RetryBudget retryBudget(String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name -> {
          double slack = state.settings.bounds().retrySlack() * BUDGET_FRACTION;
          int reserve =
              (int)
                  Math.max(1, Math.floor(slack / Math.max(MIN_BUDGET_HOSTS, state.hosts.count())));
          return new RetryBudget(state.settings.bounds().retryRatio() * BUDGET_FRACTION, reserve);
        });
  }
}
