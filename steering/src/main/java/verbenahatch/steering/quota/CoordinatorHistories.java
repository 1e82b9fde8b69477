package verbenahatch.steering.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.WorkspaceDemand;

/**
 * Holds what the coordinators of a region report in their heartbeats, by workspace, for a host that
 * may become one of them. Not thread-safe.
 */
final class CoordinatorHistories {

  private final Clock clock;
  private final String region;
  private final long windowMillis;
  private final Map<String, AdmissionHistory> byWorkspace = new HashMap<>();

  CoordinatorHistories(Clock clock, String region, long windowMillis) {
    this.clock = clock;
    this.region = region;
    this.windowMillis = windowMillis;
  }

  /** Returns the history of a workspace, which is updated further. */
  AdmissionHistory of(String workspace) {
    return byWorkspace.computeIfAbsent(
        workspace, name -> new AdmissionHistory(windowMillis, clock.nanoTime()));
  }

  /**
   * Records the reports in the newest heartbeats. If several hosts report for a workspace while the
   * coordinator changes, the highest report counts.
   */
  void update(List<HostBeat> heartbeats) {
    Map<String, WorkspaceDemand> highest = new HashMap<>();
    for (HostBeat heartbeat : heartbeats) {
      if (!heartbeat.getRegion().equals(region)) {
        continue;
      }
      for (WorkspaceDemand demand : heartbeat.getDemandsList()) {
        highest.merge(
            demand.getWorkspace(),
            demand,
            (one, other) -> one.getAdmitted() < other.getAdmitted() ? other : one);
      }
    }
    long now = clock.nanoTime();
    highest.forEach(
        (workspace, demand) ->
            of(workspace).update(demand.getAdmitted(), demand.getPerSecond(), now));
  }
}
