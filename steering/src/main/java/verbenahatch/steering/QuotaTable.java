package verbenahatch.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.WorkspaceDemand;
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
   * Part of the allowed excess that is used. The rest covers beats that arrive late and requests
   * that wait between their admission and their target.
   */
  private static final double EXCESS_PART = 0.5;

  /**
   * Holds what a host may admit.
   *
   * @param left the requests that this host and those that it hears may admit in one window, less
   *     those that the others admitted
   * @param share this host's part of what is left
   * @param recentMillis the time until other hosts know of an admission
   */
  private record Division(double left, double share, long recentMillis) {}

  private static final class Account {
    final SlidingCount admitted;
    final LongAdder asked = new LongAdder();
    volatile double demand;
    volatile Division division = new Division(0, 0, 0);

    Account(long windowMillis) {
      admitted = new SlidingCount(windowMillis);
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

  private final long startNanos;
  private long lastNanos;

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
    return account.admitted.tryAdd(division.left, share, division.recentMillis, now);
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
    double heardPart = (live.size() + 1.0) / count;
    Map<String, Double> demandOfOthers = demands(live);
    Map<String, Integer> admittedByOthers = admittedByOthers(live, now);
    for (SteeringWorkspace workspace : document.workspaces()) {
      if (workspace.ratePerSecond() <= 0) {
        continue;
      }
      Account account = account(workspace.name());
      double asked = account.asked.sumThenReset() / seconds;
      account.demand += (1 - Math.exp(-seconds / DEMAND_SECONDS)) * (asked - account.demand);
      double others = demandOfOthers.getOrDefault(workspace.name(), 0.0);
      double share = share(workspace.ratePerSecond(), count, live.size(), account.demand, others);
      double most = mostPerWindow(workspace);
      double left = most * heardPart - admittedByOthers.getOrDefault(workspace.name(), 0);
      account.division = new Division(left, share / heardPart, hosts.knownAfterMillis());
    }
  }

  private double windowMillis() {
    return Math.max(1, bounds.quotaWindowMillis());
  }

  /** Returns what all hosts together admit of a workspace in one window. */
  private double mostPerWindow(SteeringWorkspace workspace) {
    double base = workspace.ratePerSecond() * windowMillis() / 1_000 + workspace.burst();
    double excess = base * bounds.quotaOvershoot() + bounds.quotaSlack();
    return base + excess * EXCESS_PART;
  }

  private Map<String, Integer> admittedByOthers(List<HostBeat> live, long now) {
    for (HostBeat beat : live) {
      Report known = reports.get(beat.getIncarnation());
      if (known == null || known.beat.getSequence() < beat.getSequence()) {
        reports.put(beat.getIncarnation(), new Report(beat, now));
      }
    }
    long limit = TimeUnit.MILLISECONDS.toNanos(bounds.quotaWindowMillis());
    reports.values().removeIf(report -> now - report.atNanos > limit);
    Map<String, Integer> sums = new HashMap<>();
    for (Report report : reports.values()) {
      for (WorkspaceDemand demand : report.beat.getDemandsList()) {
        sums.merge(demand.getWorkspace(), demand.getAdmitted(), Integer::sum);
      }
    }
    return sums;
  }

  /** Returns this host's part of a total, from 0 to 1. */
  static double share(double rate, int count, int heard, double demand, double demandOfOthers) {
    double even = 1.0 / count;
    double divided = even * (heard + 1);
    double idle = rate * even * IDLE_PART;
    double all = demand + demandOfOthers + idle * (heard + 1);
    return divided * (demand + idle) / all;
  }

  private static Map<String, Double> demands(List<HostBeat> live) {
    Map<String, Double> sums = new HashMap<>();
    for (HostBeat beat : live) {
      for (WorkspaceDemand demand : beat.getDemandsList()) {
        sums.merge(demand.getWorkspace(), (double) demand.getPerSecond(), Double::sum);
      }
    }
    return sums;
  }

  /** Writes the demands that other hosts need. */
  void describe(HostBeat.Builder beat) {
    long now = clock.nanoTime();
    accounts.forEach(
        (name, account) -> {
          int admitted = account.admitted.count(now);
          if (account.demand > 0.01 || admitted > 0) {
            beat.addDemands(
                WorkspaceDemand.newBuilder()
                    .setWorkspace(name)
                    .setPerSecond((float) account.demand)
                    .setAdmitted(admitted));
          }
        });
  }
}
