package verbenahatch.steering;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.routing.RetryBudget;
import verbenahatch.steering.model.WireProtocol;

/** Holds what all requests of a host share. Thread-safe. */
final class EntryContext {

  /** Part of the shared retry budget that is used; the rest covers hosts that count late. */
  private static final double BUDGET_PART = 0.6;

  /** Hosts among which the budget is divided at least, as records may arrive after requests. */
  private static final int MIN_HOSTS = 8;

  /** Memory for bodies of requests that are being read or repeated, in bytes. */
  static final long MAX_BODY_MEMORY = 64L * 1024 * 1024;

  final SteeringState state;
  final WireProtocol wire;
  final TargetPool pool;
  final Scheduler timer;
  final SteeringMetrics metrics;
  final RequestLog log;
  final AtomicInteger running = new AtomicInteger();
  final AtomicLong bodyMemory = new AtomicLong();
  volatile boolean refusing;
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  EntryContext(
      SteeringState state,
      WireProtocol wire,
      TargetPool pool,
      Scheduler timer,
      SteeringMetrics metrics,
      RequestLog log) {
    this.state = state;
    this.wire = wire;
    this.pool = pool;
    this.timer = timer;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns this host's part of the budget for repeats to a service. */
  RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name -> {
          double slack = state.settings.bounds().retrySlack() * BUDGET_PART;
          int reserve =
              (int) Math.max(1, Math.floor(slack / Math.max(MIN_HOSTS, state.hosts.count())));
          return new RetryBudget(state.settings.bounds().retryRatio() * BUDGET_PART, reserve);
        });
  }
}
