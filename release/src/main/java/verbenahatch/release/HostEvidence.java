package verbenahatch.release;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the outcomes of one release on this host and tests them. Recording is thread-safe and
 * lock-free; the other methods must be called by one thread.
 */
final class HostEvidence {

  /** Number of steps between two computations of the slow thresholds: 5 s. */
  private static final int REFRESH_STEPS = 10;

  /** The outcome counters of one version on one route. */
  private static final class VersionCounters {
    private final LongAdder requests = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final LongAdder slow = new LongAdder();
  }

  private static final class Route {
    private final VersionCounters newVersion = new VersionCounters();
    private final VersionCounters oldVersion = new VersionCounters();
    private final SlowThreshold threshold = new SlowThreshold();
    private final SequentialTest test = new SequentialTest();
    private RouteCounts lastCounts = RouteCounts.NONE;

    /**
     * Reads failures and slow outcomes before the requests, so that concurrent recording never
     * shows more of them than requests.
     */
    private RouteCounts readCounts() {
      long newFailures = newVersion.failures.sum();
      long newSlow = newVersion.slow.sum();
      long oldFailures = oldVersion.failures.sum();
      long oldSlow = oldVersion.slow.sum();
      return new RouteCounts(
          newVersion.requests.sum(),
          newFailures,
          newSlow,
          oldVersion.requests.sum(),
          oldFailures,
          oldSlow);
    }
  }

  private final Map<String, Route> routes = new ConcurrentHashMap<>();
  private int stepCount;

  void record(String route, boolean isNew, boolean failed, long latencyNanos) {
    Route counts = routes.computeIfAbsent(route, name -> new Route());
    VersionCounters counters = isNew ? counts.newVersion : counts.oldVersion;
    counters.requests.increment();
    if (failed) {
      counters.failures.increment();
      return;
    }
    if (counts.threshold.isSlow(latencyNanos)) {
      counters.slow.increment();
    }
    if (!isNew) {
      counts.threshold.recordOld(latencyNanos);
    }
  }

  /**
   * Ends a step and tests its counts.
   *
   * @return which route is worse and in what, empty if no difference is significant
   */
  Optional<String> step() {
    stepCount++;
    Optional<String> fault = Optional.empty();
    for (Map.Entry<String, Route> entry : new TreeMap<>(routes).entrySet()) {
      Route route = entry.getValue();
      RouteCounts current = route.readCounts();
      Optional<String> difference = route.test.add(current.minus(route.lastCounts));
      route.lastCounts = current;
      if (fault.isEmpty()) {
        fault = difference.map(text -> "route " + entry.getKey() + ": " + text);
      }
      if (stepCount % REFRESH_STEPS == 0) {
        route.threshold.refresh();
      }
    }
    return fault;
  }

  /** Returns the cumulative counts up to the last step, by route name. */
  Map<String, RouteCounts> counts() {
    Map<String, RouteCounts> counts = new TreeMap<>();
    routes.forEach((name, route) -> counts.put(name, route.lastCounts));
    return counts;
  }
}
