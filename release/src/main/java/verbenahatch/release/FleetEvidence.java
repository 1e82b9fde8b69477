package verbenahatch.release;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Merges the evidence of all hosts at the coordinator of a release. Thread-safe.
 *
 * <p>Reports hold cumulative counts, so lost, duplicated and reordered reports do not distort the
 * result. The first report of an incarnation is only a baseline: its counts may come from other
 * stages and must not be compared as one step.
 */
final class FleetEvidence {

  /**
   * After a longer gap, as when another host was the coordinator in between, the next report is
   * again only a baseline.
   */
  private static final long MAX_GAP_NANOS = Duration.ofSeconds(5).toNanos();

  private static final class HostReports {
    private final Map<String, RouteCounts> lastCounts;
    private long lastReportNanos;

    private HostReports(Map<String, RouteCounts> counts, long nowNanos) {
      this.lastCounts = new HashMap<>(counts);
      this.lastReportNanos = nowNanos;
    }
  }

  private final Map<String, HostReports> reportsByIncarnation = new HashMap<>();
  private final Map<String, SequentialTest> tests = new HashMap<>();
  private final Map<String, RouteCounts> pendingCounts = new TreeMap<>();
  private long newRequests;
  private long requestsAtStageStart;
  private long stageGeneration = -1;

  synchronized void report(String incarnation, Map<String, RouteCounts> counts, long nowNanos) {
    HostReports previous = reportsByIncarnation.get(incarnation);
    if (previous == null || nowNanos - previous.lastReportNanos > MAX_GAP_NANOS) {
      reportsByIncarnation.put(incarnation, new HostReports(counts, nowNanos));
      return;
    }
    previous.lastReportNanos = nowNanos;
    Map<String, RouteCounts> lastCounts = previous.lastCounts;
    counts.forEach(
        (route, current) -> {
          RouteCounts delta = current.minus(lastCounts.getOrDefault(route, RouteCounts.NONE));
          if (!delta.hasNegative()) {
            lastCounts.put(route, current);
            pendingCounts.merge(route, delta, RouteCounts::plus);
            newRequests += delta.newRequests();
          }
        });
  }

  /**
   * Tests the counts that were reported since the last call.
   *
   * @return which route is worse and in what, empty if no difference is significant
   */
  synchronized Optional<String> step() {
    Optional<String> fault = Optional.empty();
    for (Map.Entry<String, RouteCounts> entry : pendingCounts.entrySet()) {
      SequentialTest test = tests.computeIfAbsent(entry.getKey(), route -> new SequentialTest());
      Optional<String> difference = test.add(entry.getValue());
      if (fault.isEmpty()) {
        fault = difference.map(text -> "route " + entry.getKey() + ": " + text);
      }
    }
    pendingCounts.clear();
    return fault;
  }

  /**
   * Returns the number of requests that the new version handled since the first call with this
   * generation.
   */
  synchronized long stageRequests(long generation) {
    if (generation != stageGeneration) {
      stageGeneration = generation;
      requestsAtStageStart = newRequests;
    }
    return newRequests - requestsAtStageStart;
  }
}
