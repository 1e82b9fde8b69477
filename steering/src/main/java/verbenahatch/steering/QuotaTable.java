package verbenahatch.steering;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Hashing;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.WorkspaceDemand;
import verbenahatch.steering.SlidingCount.Allowance;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings.Bounds;

/**
 * Divides the rates of workspaces among hosts by demand.
 *
 * <p>Thread-safe. What all hosts together may admit in one window is known from the terms. Hosts
 * know of each other's admissions after a short time; what was left at that time is divided by
 * demand, and each host admits its part of it. A registered host that is not heard counts with an
 * even part, and a host that hears nobody takes an even part for itself, so the parts on both sides
 * of a cut fit the total.
 */
final class QuotaTable {

  /** Time over which demand is averaged; requests of a small workspace come seconds apart. */
  private static final double DEMAND_SECONDS = 1.3;

  /** Time for which a process may admit requests at once when it starts, in milliseconds. */
  private static final long FIRST_MILLIS = 250;

  /** Part of an even share that each host keeps without demand, so that first requests pass. */
  private static final double IDLE_PART = 0.4;

  /**
   * Part of the allowed excess that is used. The rest covers the time until a cut is noticed, and
   * requests that wait between their admission and their target; QuotaTableTest plays both.
   */
  private static final double EXCESS_PART = 0.35;

  /** The same in a large fleet, where hosts hear of each other later. */
  private static final double LARGE_EXCESS_PART = 0.2;

  /**
   * Holds what a host may admit.
   *
   * @param left the requests that this host and those that it hears may admit in one window, less
   *     those that the others admitted
   * @param share this host's part of what is left
   * @param recentMillis the time until other hosts know of an admission
   */
  private record Division(double left, double share, long recentMillis) {}

  private record Demand(double perSecond, long atNanos) {}

  private static final class Account {
    final SlidingCount admitted;
    final LongAdder asked = new LongAdder();
    volatile double demand;
    volatile Division division = new Division(0, 0, 0);
    private final ArrayDeque<Demand> history = new ArrayDeque<>();

    Account(long windowMillis) {
      admitted = new SlidingCount(windowMillis);
    }

    /**
     * Returns the demand that the other hosts know of.
     *
     * <p>If a host divided by its newest demand and by what it knows of the others, the parts of
     * all would sum to several times the total while demand grows.
     */
    double knownDemand(long millis, long now) {
      history.addLast(new Demand(demand, now));
      long limit = TimeUnit.MILLISECONDS.toNanos(millis);
      while (history.size() > 1 && now - history.getFirst().atNanos > limit) {
        history.removeFirst();
      }
      return history.getFirst().perSecond;
    }
  }

  /** Holds the newest beat of a process and the time at which it arrived. */
  private record Report(HostBeat beat, long atNanos) {}

  private final Clock clock;
  private final HostTable hosts;
  private final Bounds bounds;
  private final Map<String, Account> accounts = new ConcurrentHashMap<>();

  /** Reports by incarnation; those of ended processes count until their window is over. */
  private final Map<String, Report> reports = new HashMap<>();

  /** The newest sums of other regions, by region. */
  private final Map<String, Report> regionReports = new HashMap<>();

  private final long startNanos;
  private long lastNanos;
  private double heardPart = 1;
  private long growsNanos;

  QuotaTable(Clock clock, HostTable hosts, Bounds bounds) {
    this.clock = clock;
    this.hosts = hosts;
    this.bounds = bounds;
    this.startNanos = clock.nanoTime();
    this.lastNanos = startNanos;
  }

  /** Counts a request and tells whether it is inside the rate. */
  boolean admit(SteeringWorkspace workspace) {
    if (workspace.ratePerSecond() <= 0) {
      return true;
    }
    Account account = account(workspace.name());
    account.asked.increment();
    Division division = account.division;
    long now = clock.nanoTime();
    double share = division.share * filled(now);
    double rounding = hosts.isSmallFleet() ? 0 : rounding(workspace.name(), division, now);
    Allowance allowance = new Allowance(division.left, share, rounding, division.recentMillis);
    return account.admitted.tryAdd(allowance, now);
  }

  /**
   * Draws what rounds a part of less than a request up in a part of the cases.
   *
   * <p>In a large fleet the part of a host is a fraction of a request; without the draw no host
   * would admit any.
   */
  private double rounding(String workspace, Division division, long now) {
    long turn = now / Math.max(1, TimeUnit.MILLISECONDS.toNanos(division.recentMillis));
    return Hashing.unit(Hashing.of(workspace) ^ hosts.incarnation().hashCode() * 31L ^ turn);
  }

  /**
   * Returns the part of the window that this process may use.
   *
   * <p>An earlier process of this host may have used the window before this one started.
   */
  private double filled(long now) {
    long millis = TimeUnit.NANOSECONDS.toMillis(now - startNanos) + FIRST_MILLIS;
    return Math.min(1, millis / windowMillis());
  }

  private Account account(String workspace) {
    return accounts.computeIfAbsent(workspace, name -> new Account(bounds.quotaWindowMillis()));
  }

  /** Measures demand and divides the rates anew. */
  synchronized void divide(SteeringDocument document) {
    long now = clock.nanoTime();
    double seconds = Math.max(1e-3, (now - lastNanos) / 1e9);
    lastNanos = now;
    List<HostBeat> live = hosts.live();
    int count = Math.max(hosts.count(), live.size() + 1);
    double heard = (live.size() + 1.0) / count;
    double part = settledPart(heard, now);
    gather(live, now);
    Map<String, Double> demandOfOthers = demands(live, now);
    Map<String, Double> admittedByOthers = admittedByOthers(now);
    for (SteeringWorkspace workspace : document.workspaces()) {
      if (workspace.ratePerSecond() <= 0) {
        continue;
      }
      Account account = account(workspace.name());
      double asked = account.asked.sumThenReset() / seconds;
      account.demand += (1 - Math.exp(-seconds / DEMAND_SECONDS)) * (asked - account.demand);
      double others = demandOfOthers.getOrDefault(workspace.name(), 0.0);
      double own = account.knownDemand(hosts.isSmallFleet() ? 0 : hosts.knownAfterMillis(), now);
      double share = share(workspace.ratePerSecond(), count, live.size(), own, others);
      double most = mostPerWindow(workspace);
      double left = most * part - admittedByOthers.getOrDefault(workspace.name(), 0.0);
      account.division = new Division(left, share / heard, hosts.knownAfterMillis());
    }
  }

  /**
   * Returns the part of the hosts whose admissions are known.
   *
   * <p>After a cut one host is heard first; what the others admitted is known a little later.
   */
  private double settledPart(double heard, long now) {
    if (heard <= heardPart) {
      heardPart = heard;
      growsNanos = now;
    } else if (now - growsNanos >= TimeUnit.MILLISECONDS.toNanos(hosts.knownAfterMillis())) {
      heardPart = heard;
    }
    return heardPart;
  }

  private double windowMillis() {
    return Math.max(1, bounds.quotaWindowMillis());
  }

  /** Returns what all hosts together admit of a workspace in one window. */
  private double mostPerWindow(SteeringWorkspace workspace) {
    double base = workspace.ratePerSecond() * windowMillis() / 1_000 + workspace.burst();
    double excess = base * bounds.quotaOvershoot() + bounds.quotaSlack();
    return base + excess * (hosts.isSmallFleet() ? EXCESS_PART : LARGE_EXCESS_PART);
  }

  private void gather(List<HostBeat> live, long now) {
    for (HostBeat beat : live) {
      Report known = reports.get(beat.getIncarnation());
      if (known != null && known.beat.getSequence() >= beat.getSequence()) {
        continue;
      }
      reports.put(beat.getIncarnation(), new Report(beat, now));
      if (beat.getRegionDemandsCount() > 0) {
        regionReports.put(beat.getRegion(), new Report(beat, now));
      }
    }
    long limit = TimeUnit.MILLISECONDS.toNanos(bounds.quotaWindowMillis());
    reports.values().removeIf(report -> now - report.atNanos > limit);
  }

  private Map<String, Double> admittedByOthers(long now) {
    Map<String, Double> sums = new HashMap<>();
    for (Report report : reports.values()) {
      if (!isSummed(report.beat.getRegion(), now)) {
        addAdmitted(sums, report.beat.getDemandsList(), now - report.atNanos);
      }
    }
    for (Report report : regionReports.values()) {
      if (isSummed(report.beat.getRegion(), now)) {
        addAdmitted(sums, report.beat.getRegionDemandsList(), now - report.atNanos);
      }
    }
    return sums;
  }

  private void addAdmitted(Map<String, Double> sums, List<WorkspaceDemand> demands, long ageNanos) {
    double lateMillis = ageNanos / 1e6 - hosts.knownAfterMillis();
    for (WorkspaceDemand demand : demands) {
      // A host that became silent may be cut off and admit all that its callers bring.
      double since = lateMillis > 0 ? demand.getPerSecond() * ageNanos / 1e9 : 0;
      sums.merge(demand.getWorkspace(), demand.getAdmitted() + since, Double::sum);
    }
  }

  /** Returns this host's part of a total, from 0 to 1. */
  static double share(double rate, int count, int heard, double demand, double demandOfOthers) {
    double even = 1.0 / count;
    double divided = even * (heard + 1);
    double idle = rate * even * IDLE_PART;
    double all = demand + demandOfOthers + idle * (heard + 1);
    return divided * (demand + idle) / all;
  }

  /** Returns what other hosts bring: single hosts, or sums where a region sends them. */
  private Map<String, Double> demands(List<HostBeat> live, long now) {
    Map<String, Double> sums = new HashMap<>();
    for (HostBeat beat : live) {
      if (!isSummed(beat.getRegion(), now)) {
        for (WorkspaceDemand demand : beat.getDemandsList()) {
          sums.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
        }
      }
    }
    for (String region : regionReports.keySet()) {
      if (isSummed(region, now)) {
        for (WorkspaceDemand demand : regionReports.get(region).beat.getRegionDemandsList()) {
          sums.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
        }
      }
    }
    return sums;
  }

  private boolean isSummed(String region, long now) {
    Report report = regionReports.get(region);
    return report != null
        && now - report.atNanos <= TimeUnit.MILLISECONDS.toNanos(bounds.quotaWindowMillis());
  }

  /** Writes the demands that other hosts need. */
  void describe(HostBeat.Builder beat) {
    long now = clock.nanoTime();
    accounts.forEach(
        (name, account) -> {
          int admitted = account.admitted.count(now);
          if (account.demand > 0.01 || admitted > 0) {
            beat.addDemands(demand(name, account.demand, admitted));
          }
        });
  }

  /** Writes the sums of this host's region, which stand for all of its hosts elsewhere. */
  synchronized void describeRegion(HostBeat.Builder beat) {
    long now = clock.nanoTime();
    Map<String, Double> demands = new HashMap<>();
    Map<String, Integer> admitted = new HashMap<>();
    accounts.forEach(
        (name, account) -> {
          demands.put(name, account.demand);
          admitted.put(name, account.admitted.count(now));
        });
    for (Report report : reports.values()) {
      if (report.beat.getRegion().equals(hosts.region())) {
        for (WorkspaceDemand demand : report.beat.getDemandsList()) {
          demands.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
          admitted.merge(demand.getWorkspace(), demand.getAdmitted(), Integer::sum);
        }
      }
    }
    demands.forEach(
        (name, perSecond) -> {
          int sum = admitted.getOrDefault(name, 0);
          if (perSecond > 0.01 || sum > 0) {
            beat.addRegionDemands(demand(name, perSecond, sum));
          }
        });
  }

  private static WorkspaceDemand demand(String workspace, double perSecond, int admitted) {
    return WorkspaceDemand.newBuilder()
        .setWorkspace(workspace)
        .setPerSecond((float) perSecond)
        .setAdmitted(admitted)
        .build();
  }
}
