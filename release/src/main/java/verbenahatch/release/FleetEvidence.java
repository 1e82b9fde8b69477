package verbenahatch.release;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Merges the evidence of all hosts at the coordinator of a release. Thread-safe.
 *
 * <p>Reports hold cumulative counts, so lost, repeated and reordered reports do no harm. The first
 * report of an incarnation is only a starting point: its counts may come from other stages and must
 * not be compared as one step.
 */
final class FleetEvidence {

  /**
   * After a longer gap, as when another host was the coordinator meanwhile, the next report is
   * again only a starting point.
   */
  private static final long MAX_GAP_NANOS = Duration.ofSeconds(5).toNanos();

  private static final class Host {
    private final Map<String, RouteCounts> last;
    private long seenNanos;

    private Host(Map<String, RouteCounts> counts, long nowNanos) {
      this.last = new HashMap<>(counts);
      this.seenNanos = nowNanos;
    }
  }

  private final Map<String, Host> hosts = new HashMap<>();
  private final Map<String, SequentialTest> tests = new HashMap<>();
  private final Map<String, RouteCounts> steps = new TreeMap<>();
  private long newRequests;
  private long stageStart;
  private long stageGeneration = -1;

  synchronized void report(String incarnation, Map<String, RouteCounts> counts, long nowNanos) {
    Host host = hosts.get(incarnation);
    if (host == null || nowNanos - host.seenNanos > MAX_GAP_NANOS) {
      hosts.put(incarnation, new Host(counts, nowNanos));
      return;
    }
    host.seenNanos = nowNanos;
    Map<String, RouteCounts> last = host.last;
    counts.forEach(
        (route, now) -> {
          RouteCounts delta = now.minus(last.getOrDefault(route, RouteCounts.NONE));
          if (!delta.hasNegative()) {
            last.put(route, now);
            steps.merge(route, delta, RouteCounts::plus);
            newRequests += delta.newRequests();
          }
        });
  }

  /**
   * Tests what was reported since the last call.
   *
   * @return what is worse on which route, empty if nothing is significant
   */
  synchronized Optional<String> step() {
    Optional<String> fault = Optional.empty();
    for (Map.Entry<String, RouteCounts> entry : steps.entrySet()) {
      SequentialTest test = tests.computeIfAbsent(entry.getKey(), route -> new SequentialTest());
      Optional<String> found = test.add(entry.getValue());
      if (fault.isEmpty()) {
        fault = found.map(text -> "route " + entry.getKey() + ": " + text);
      }
    }
    steps.clear();
    return fault;
  }

  /** Returns how many requests the new version answered since this generation was first seen. */
  synchronized long stageRequests(long generation) {
    if (generation != stageGeneration) {
      stageGeneration = generation;
      stageStart = newRequests;
    }
    return newRequests - stageStart;
  }
}
