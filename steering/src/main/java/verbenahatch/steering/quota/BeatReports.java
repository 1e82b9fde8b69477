package verbenahatch.steering.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.WorkspaceDemand;

/**
 * Sums up what the hosts of a small fleet tell in their beats.
 *
 * <p>Thread-safe. A process that fell silent counts until its admissions have left the window.
 */
final class BeatReports implements AdmittingPeers {

  /** Holds the newest beat of a process and the time at which it arrived. */
  private record Report(HostBeat beat, long atNanos) {}

  private final Clock clock;
  private final QuotaFleet fleet;
  private final long windowNanos;
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Double> demands = new HashMap<>();
  private final Map<String, Double> admitted = new HashMap<>();
  private int heard;
  private int count = 1;

  BeatReports(Clock clock, QuotaFleet fleet, long windowMillis) {
    this.clock = clock;
    this.fleet = fleet;
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
  }

  @Override
  public synchronized void refresh() {
    final long now = clock.nanoTime();
    List<HostBeat> live = fleet.live();
    heard = live.size();
    count = Math.max(fleet.count(), heard + 1);
    demands.clear();
    for (HostBeat beat : live) {
      Report known = reports.get(beat.getIncarnation());
      if (known == null || known.beat.getSequence() < beat.getSequence()) {
        reports.put(beat.getIncarnation(), new Report(beat, now));
      }
      for (WorkspaceDemand demand : beat.getDemandsList()) {
        demands.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
      }
    }
    reports.values().removeIf(report -> now - report.atNanos > windowNanos);
    admitted.clear();
    Set<String> running = new HashSet<>();
    live.forEach(beat -> running.add(beat.getIncarnation()));
    for (Report report : reports.values()) {
      addAdmitted(
          report.beat, now - report.atNanos, running.contains(report.beat.getIncarnation()));
    }
  }

  private void addAdmitted(HostBeat beat, long ageNanos, boolean running) {
    boolean late = ageNanos / 1e6 > fleet.propagationMillis();
    Map<String, Double> perSecond = new HashMap<>();
    for (WorkspaceDemand demand : beat.getDemandsList()) {
      admitted.merge(demand.getWorkspace(), (double) demand.getAdmitted(), Double::sum);
      perSecond.put(demand.getWorkspace(), (double) demand.getPerSecond());
    }
    if (!late) {
      return;
    }
    // A host that became silent may be cut off and admit all that its callers bring, which may be
    // as much by now as others see.
    if (running) {
      demands.forEach((name, sum) -> perSecond.merge(name, sum / Math.max(1, heard), Math::max));
    }
    perSecond.forEach((name, rate) -> admitted.merge(name, rate * ageNanos / 1e9, Double::sum));
  }

  @Override
  public synchronized Others others(String workspace) {
    return new Others(
        demands.getOrDefault(workspace, 0.0),
        admitted.getOrDefault(workspace, 0.0),
        heard,
        count,
        fleet.propagationMillis());
  }
}
