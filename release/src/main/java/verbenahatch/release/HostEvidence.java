package verbenahatch.release;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the outcomes of one release on this host and tests them. Recording is thread-safe and free
 * of locks; the other methods run on one thread.
 */
final class HostEvidence {

  /** Steps between two computations of the slow thresholds: 5 s. */
  private static final int REFRESH_STEPS = 10;

  /** Counts of one version on one route. */
  private static final class Adders {
    private final LongAdder requests = new LongAdder();
    private final LongAdder failures = new LongAdder();
    private final LongAdder slow = new LongAdder();
  }

  private static final class Route {
    private final Adders fresh = new Adders();
    private final Adders old = new Adders();
    private final SlowThreshold threshold = new SlowThreshold();
    private final SequentialTest test = new SequentialTest();
    private RouteCounts last = RouteCounts.NONE;

    /** Reads parts before totals, so that concurrent recording never shows more parts. */
    private RouteCounts read() {
      long newFailures = fresh.failures.sum();
      long newSlow = fresh.slow.sum();
      long oldFailures = old.failures.sum();
      long oldSlow = old.slow.sum();
      return new RouteCounts(
          fresh.requests.sum(), newFailures, newSlow, old.requests.sum(), oldFailures, oldSlow);
    }
  }

  private final Map<String, Route> routes = new ConcurrentHashMap<>();
  private int steps;

  void record(String route, boolean isNew, boolean failed, long latencyNanos) {
    Route counts = routes.computeIfAbsent(route, name -> new Route());
    Adders adders = isNew ? counts.fresh : counts.old;
    adders.requests.increment();
    if (failed) {
      adders.failures.increment();
      return;
    }
    if (counts.threshold.isSlow(latencyNanos)) {
      adders.slow.increment();
    }
    if (!isNew) {
      counts.threshold.recordOld(latencyNanos);
    }
  }

  /**
   * Ends a step and tests it.
   *
   * @return what is worse on which route, empty if nothing is significant
   */
  Optional<String> step() {
    steps++;
    Optional<String> fault = Optional.empty();
    for (Map.Entry<String, Route> entry : new TreeMap<>(routes).entrySet()) {
      Route route = entry.getValue();
      RouteCounts now = route.read();
      Optional<String> found = route.test.add(now.minus(route.last));
      route.last = now;
      if (fault.isEmpty()) {
        fault = found.map(text -> "route " + entry.getKey() + ": " + text);
      }
      if (steps % REFRESH_STEPS == 0) {
        route.threshold.refresh();
      }
    }
    return fault;
  }

  /** Returns the counts up to the last step by route. */
  Map<String, RouteCounts> counts() {
    Map<String, RouteCounts> counts = new TreeMap<>();
    routes.forEach((name, route) -> counts.put(name, route.last));
    return counts;
  }
}
