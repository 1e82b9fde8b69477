package verbenahatch.steering.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.RegionUse;
import verbenahatch.peer.generated.WorkspaceDemand;

/**
 * Totals the demand and the admissions that the coordinators of other regions report.
 *
 * <p>Thread-safe. A region whose reports timed out counts until its admissions have left the quota
 * window.
 */
final class RegionReports implements AdmittingPeers {

  /** Time between two reports of a coordinator. */
  static final long REPORT_INTERVAL_MILLIS = 400;

  /** Intervals without a report after which a region has timed out; datagrams may get lost. */
  private static final int MAX_MISSED_REPORTS = 5;

  private static final long TIMEOUT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(REPORT_INTERVAL_MILLIS * MAX_MISSED_REPORTS);

  /**
   * Fraction of the limit by which the admissions of a region plausibly fall within the propagation
   * time. A region that had used the whole rate and lost its callers falls by a fifth.
   */
  private static final double MAX_FALL = 0.25;

  /** Transit time of a report between regions, including the host that forwards it. */
  private static final long TRANSIT_MILLIS = 150;

  /**
   * Holds the last report of a region.
   *
   * @param highest the highest number of admissions that was reported within the propagation time
   * @param highestNanos the monotonic time in nanoseconds at which it was reported
   */
  private record Report(
      WorkspaceDemand demand, long receivedNanos, int highest, long highestNanos) {}

  private final Clock clock;
  private final QuotaFleet fleet;
  private final long windowNanos;
  private final Map<String, Map<String, Report>> byWorkspace = new HashMap<>();

  RegionReports(Clock clock, QuotaFleet fleet, long windowMillis) {
    this.clock = clock;
    this.fleet = fleet;
    this.windowNanos = TimeUnit.MILLISECONDS.toNanos(windowMillis);
  }

  /** Records the report of another region about one workspace. */
  synchronized void receive(String region, WorkspaceDemand demand) {
    long now = clock.nanoTime();
    byWorkspace
        .computeIfAbsent(demand.getWorkspace(), name -> new HashMap<>())
        .merge(
            region, new Report(demand, now, demand.getAdmitted(), now), RegionReports::withHighest);
  }

  /** Records all reports of a message. */
  void receive(RegionUse use) {
    use.getDemandsList().forEach(demand -> receive(use.getRegion(), demand));
  }

  private static Report withHighest(Report old, Report report) {
    long propagationNanos = TimeUnit.MILLISECONDS.toNanos(propagationMillis());
    boolean isHigher =
        report.highest >= old.highest || report.receivedNanos - old.highestNanos > propagationNanos;
    return isHigher
        ? report
        : new Report(report.demand, report.receivedNanos, old.highest, old.highestNanos);
  }

  /**
   * Returns the requests that a region has admitted by its last reports.
   *
   * <p>After a network partition, a coordinator of its smaller side may report for the region until
   * it learns of the other one, so an implausible fall counts only after the propagation time.
   */
  private static double reported(Report report, double limit) {
    int admitted = report.demand.getAdmitted();
    return report.highest - admitted > MAX_FALL * limit ? report.highest : admitted;
  }

  @Override
  public synchronized void refresh() {
    long now = clock.nanoTime();
    byWorkspace
        .values()
        .forEach(
            reports ->
                reports.values().removeIf(report -> now - report.receivedNanos > windowNanos));
    byWorkspace.values().removeIf(Map::isEmpty);
  }

  @Override
  public synchronized PeerTotals totals(String workspace, double limit) {
    long now = clock.nanoTime();
    Collection<Report> reports = byWorkspace.getOrDefault(workspace, Map.of()).values();
    double demand = 0;
    int alive = 0;
    for (Report report : reports) {
      if (now - report.receivedNanos <= TIMEOUT_NANOS) {
        alive++;
        demand += report.demand.getPerSecond();
      }
    }
    int count = Math.max(fleet.regions().size(), Math.max(alive, reports.size()) + 1);
    double evenShare = limit / count;
    double mean = demand / Math.max(1, alive);
    double admitted = evenShare * (count - 1 - reports.size());
    double unknown = admitted;
    double recent = 0;
    for (Report report : reports) {
      recent += recentlyAdmittedBy(report, now - report.receivedNanos);
      double charged = admittedBy(report, limit, mean, evenShare, now - report.receivedNanos);
      admitted += charged;
      unknown += charged - report.demand.getAdmitted();
    }
    return new PeerTotals(demand, admitted, unknown, recent, alive, count, propagationMillis());
  }

  /**
   * Returns the requests that a region may have admitted within the window.
   *
   * <p>A region without recent reports may be on the other side of a network partition. Until it
   * detects that, it admits all requests of its callers, whose rate may have grown up to the mean
   * of the live regions; from then on, at most its even share.
   */
  private static double admittedBy(
      Report report, double limit, double mean, double evenShare, long ageNanos) {
    double admitted = reported(report, limit);
    if (ageNanos <= TimeUnit.MILLISECONDS.toNanos(propagationMillis())) {
      return admitted;
    }
    double unknownSeconds = Math.min(ageNanos, TIMEOUT_NANOS) / 1e9;
    admitted += Math.max(report.demand.getPerSecond(), mean) * unknownSeconds;
    return Math.max(admitted, evenShare);
  }

  /**
   * Returns the reported requests that were probably admitted within the propagation time: those of
   * a region that admits at an even pace.
   */
  private double recentlyAdmittedBy(Report report, long ageNanos) {
    double seconds = Math.max(0, propagationMillis() / 1e3 - ageNanos / 1e9);
    double perSecond = report.demand.getAdmitted() / (windowNanos / 1e9);
    return Math.min(perSecond, report.demand.getPerSecond()) * seconds;
  }

  /** Returns the time after which other regions know of an admission, in milliseconds. */
  static long propagationMillis() {
    return 2 * REPORT_INTERVAL_MILLIS + TRANSIT_MILLIS;
  }
}
