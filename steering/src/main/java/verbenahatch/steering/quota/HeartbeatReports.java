package verbenahatch.steering.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.WorkspaceDemand;

/**
 * Totals the demand and the admissions that the hosts of a small fleet report in their heartbeats.
 *
 * <p>Thread-safe. A process whose heartbeats timed out counts until its admissions have left the
 * quota window.
 */
final class HeartbeatReports implements AdmittingPeers {

  /** Holds the newest heartbeat of a process and the time at which it was received. */
  private record Report(HostBeat heartbeat, long receivedNanos) {}

  private final Clock clock;
  private final QuotaFleet fleet;
  private final long windowNanos;
  private final Map<String, Report> reports = new HashMap<>();
  private final Map<String, Double> demands = new HashMap<>();
  private final Map<String, Double> admitted = new HashMap<>();
  private @Nullable SmoothedAliveFraction smoothedAliveFraction;
  private double knownFraction = 1;
  private int alive;
  private int count = 1;

  HeartbeatReports(Clock clock, QuotaFleet fleet, long windowMillis) {
    this.clock = clock;
    this.fleet = fleet;
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
  }

  @Override
  public synchronized void refresh() {
    final long now = clock.nanoTime();
    List<HostBeat> live = fleet.live();
    alive = live.size();
    count = Math.max(fleet.count(), alive + 1);
    double aliveFraction = (alive + 1.0) / count;
    if (smoothedAliveFraction == null) {
      // Admissions before the start of the process are taken into account when it admits.
      smoothedAliveFraction =
          new SmoothedAliveFraction(TimeUnit.NANOSECONDS.toMillis(windowNanos), aliveFraction, now);
    }
    knownFraction = smoothedAliveFraction.update(aliveFraction, now);
    demands.clear();
    for (HostBeat heartbeat : live) {
      Report previous = reports.get(heartbeat.getIncarnation());
      if (previous == null || previous.heartbeat.getSequence() < heartbeat.getSequence()) {
        reports.put(heartbeat.getIncarnation(), new Report(heartbeat, now));
      }
      for (WorkspaceDemand demand : heartbeat.getDemandsList()) {
        demands.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
      }
    }
    reports.values().removeIf(report -> now - report.receivedNanos > windowNanos);
    admitted.clear();
    Set<String> liveIncarnations = new HashSet<>();
    live.forEach(heartbeat -> liveIncarnations.add(heartbeat.getIncarnation()));
    for (Report report : reports.values()) {
      addAdmitted(
          report.heartbeat,
          now - report.receivedNanos,
          liveIncarnations.contains(report.heartbeat.getIncarnation()));
    }
  }

  private void addAdmitted(HostBeat heartbeat, long ageNanos, boolean live) {
    boolean late = ageNanos / 1e6 > fleet.propagationMillis();
    Map<String, Double> perSecond = new HashMap<>();
    for (WorkspaceDemand demand : heartbeat.getDemandsList()) {
      admitted.merge(demand.getWorkspace(), (double) demand.getAdmitted(), Double::sum);
      perSecond.put(demand.getWorkspace(), (double) demand.getPerSecond());
    }
    if (!late) {
      return;
    }
    // A host whose heartbeats stopped may be on the other side of a network partition and admit
    // all requests of its callers. Their rate may have grown since its last heartbeat, up to the
    // mean rate of the live hosts.
    if (live) {
      demands.forEach((name, sum) -> perSecond.merge(name, sum / Math.max(1, alive), Math::max));
    }
    perSecond.forEach((name, rate) -> admitted.merge(name, rate * ageNanos / 1e9, Double::sum));
  }

  @Override
  public synchronized PeerTotals totals(String workspace, double limit) {
    return new PeerTotals(
        demands.getOrDefault(workspace, 0.0),
        admitted.getOrDefault(workspace, 0.0) + limit * (1 - knownFraction),
        limit * (1 - knownFraction),
        0,
        alive,
        count,
        fleet.propagationMillis());
  }
}
