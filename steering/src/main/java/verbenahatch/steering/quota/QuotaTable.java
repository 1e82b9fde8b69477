package verbenahatch.steering.quota;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.quota.Admission.Decision;
import verbenahatch.steering.quota.AdmittingPeers.PeerTotals;
import verbenahatch.steering.quota.SlidingWindowCounter.Allowance;

/**
 * Allocates the rates of workspaces among the peers that admit requests, by demand.
 *
 * <p>Thread-safe. These peers are the hosts of a small fleet, or the coordinators of the regions in
 * a large one. The total that all peers may admit in one window follows from the settings. They
 * know of each other's admissions after a short time; the headroom left at that time is allocated
 * by demand, and each peer admits its share of it. A peer that is registered but not alive counts
 * with an even share, and a peer that sees no other alive takes only an even share for itself, so
 * the shares on both sides of a network partition fit the total.
 */
final class QuotaTable {

  /** Averaging time of demand; requests of a small workspace are seconds apart. */
  private static final double DEMAND_AVERAGING_SECONDS = 1.3;

  /** Portion of the window that a process may use right after its start, in milliseconds. */
  private static final long STARTUP_MILLIS = 250;

  /**
   * Time without a coordinator after which a host begins to use its even share, in milliseconds.
   * Without it, hosts cut off from a coordinator that uses the whole rate exceeded the limit by up
   * to 6% in simulation before the coordinator detected it.
   */
  private static final long UNCOORDINATED_DELAY_MILLIS = 1_000;

  /** Fraction of an even share that a peer keeps without demand, so that first requests pass. */
  private static final double IDLE_FRACTION = 0.4;

  /**
   * Fraction of the allowed overshoot that is used. The rest covers the time until a network
   * partition is detected, and requests that wait between their admission and their target;
   * AdmissionTest simulates both.
   */
  private static final double OVERSHOOT_FRACTION = 0.1;

  /**
   * Fraction of the allowed slack that is used; slack is most of what a small workspace may send.
   */
  private static final double SLACK_FRACTION = 0.4;

  /**
   * Holds what may be admitted here.
   *
   * @param headroom the requests that this peer and the live ones may admit in one window, less
   *     those that the others admitted
   * @param unknown the requests that the headroom leaves out though no report shows them
   * @param share this peer's fraction of the headroom
   * @param othersRecent the requests that the others admitted too recently for all to know
   * @param recentMillis the time in milliseconds until the others know of an admission
   */
  private record Allocation(
      double headroom, double unknown, double share, double othersRecent, long recentMillis) {}

  /** Requests that others granted a process within the window, and when the process said so. */
  private record GrantReport(int requests, long atNanos) {}

  private final class Usage {
    final SlidingWindowCounter admitted = new SlidingWindowCounter(bounds.quotaWindowMillis());
    final SlidingWindowCounter uncoordinated = new SlidingWindowCounter(bounds.quotaWindowMillis());
    final LongAdder requested = new LongAdder();
    final Map<String, GrantReport> grantReports = new ConcurrentHashMap<>();
    final Map<String, SlidingWindowCounter> grantsByIncarnation = new ConcurrentHashMap<>();
    volatile double demand;
    volatile @Nullable AdmissionHistory inherited;
    volatile Allocation allocation = new Allocation(0, 0, 0, 0, 0);
    volatile double reserved;

    /**
     * Returns the requests within the window that others granted.
     *
     * <p>Hosts report with their requests what others granted them; an earlier coordinator reported
     * what it had admitted, which also counts hosts that were lost since.
     */
    double grantedByOthers(long now) {
      return Math.max(granted(now), inherited(now));
    }

    private double granted(long now) {
      long windowNanos = TimeUnit.MILLISECONDS.toNanos(bounds.quotaWindowMillis());
      double sum = 0;
      grantReports.values().removeIf(report -> now - report.atNanos > windowNanos);
      for (GrantReport report : grantReports.values()) {
        sum += report.requests;
      }
      return sum;
    }

    private double inherited(long now) {
      AdmissionHistory earlier = inherited;
      return earlier == null ? 0 : earlier.remaining(now);
    }

    /**
     * Returns the requests within the window that others granted or may have granted.
     *
     * <p>What an earlier coordinator had granted to hosts that are gone is in both the inherited
     * requests and the reserve for these hosts.
     */
    double unknownOrGrantedByOthers(long now) {
      return Math.max(granted(now) + reserved, inherited(now));
    }

    /**
     * Returns the decision that refuses a request.
     *
     * @param withoutReserve what would be allowed if nothing were reserved for unknown admissions
     */
    Decision refusal(Allowance withoutReserve, long now) {
      return admitted.allows(withoutReserve, now) ? Decision.UNKNOWN_USAGE : Decision.OVER_QUOTA;
    }

    /** Removes processes without grants and returns the grants to those that are not alive. */
    int grantedToOthersThan(Set<String> liveIncarnations, long now) {
      grantsByIncarnation.values().removeIf(counter -> counter.count(now) == 0);
      int sum = 0;
      for (Map.Entry<String, SlidingWindowCounter> entry : grantsByIncarnation.entrySet()) {
        sum += liveIncarnations.contains(entry.getKey()) ? 0 : entry.getValue().count(now);
      }
      return sum;
    }
  }

  private final Clock clock;
  private final Bounds bounds;
  private final AdmittingPeers peers;
  private final Map<String, Usage> usages = new ConcurrentHashMap<>();
  private final long startNanos;
  private long lastNanos;

  QuotaTable(Clock clock, Bounds bounds, AdmittingPeers peers) {
    this.clock = clock;
    this.bounds = bounds;
    this.peers = peers;
    this.startNanos = clock.nanoTime();
    this.lastNanos = startNanos;
  }

  /** Counts a request of this host's callers and decides whether it is within the rate. */
  Decision admit(SteeringWorkspace workspace) {
    Usage usage = usage(workspace.name());
    usage.requested.increment();
    Allocation allocation = usage.allocation;
    long now = clock.nanoTime();
    double share = allocation.share * usableFraction(now);
    Allowance allowance = new Allowance(allocation.headroom, share, 0, allocation.recentMillis);
    if (usage.admitted.tryAdd(allowance, now)) {
      return Decision.ADMITTED;
    }
    double known = allocation.headroom + allocation.unknown;
    Allowance withoutReserve = new Allowance(known, allocation.share, 0, allocation.recentMillis);
    return usage.refusal(withoutReserve, now);
  }

  /**
   * Counts a request of a host that asks this coordinator and decides whether it is within the
   * rate.
   *
   * @param workspace the name of the workspace
   * @param incarnation the incarnation of the requesting process
   * @param grantedElsewhere the requests that others granted to that process within the window
   * @return whether the request is admitted, and if not, why
   */
  Decision admitFor(String workspace, String incarnation, int grantedElsewhere) {
    Usage usage = usage(workspace);
    usage.requested.increment();
    long now = clock.nanoTime();
    if (grantedElsewhere > 0) {
      usage.grantReports.put(incarnation, new GrantReport(grantedElsewhere, now));
    } else {
      usage.grantReports.remove(incarnation);
    }
    Allocation allocation = usage.allocation;
    double headroom = allocation.headroom - usage.unknownOrGrantedByOthers(now);
    Allowance allowance =
        new Allowance(
            headroom, allocation.share, allocation.othersRecent, 0, allocation.recentMillis);
    if (!usage.admitted.tryAdd(allowance, now)) {
      double known = allocation.headroom + allocation.unknown - usage.grantedByOthers(now);
      Allowance withoutReserve =
          new Allowance(
              known, allocation.share, allocation.othersRecent, 0, allocation.recentMillis);
      return usage.refusal(withoutReserve, now);
    }
    usage
        .grantsByIncarnation
        .computeIfAbsent(incarnation, name -> new SlidingWindowCounter(bounds.quotaWindowMillis()))
        .add(now);
    return Decision.ADMITTED;
  }

  /**
   * Counts a request that no coordinator decides and returns whether it is within an even share of
   * the rate.
   *
   * <p>The share grows from zero within one window, since the coordinator may use the whole rate
   * until it detects that it does not hear from this host.
   *
   * @param workspace the workspace
   * @param hosts the number of known hosts
   * @param granted the requests that coordinators granted to this process within the window
   * @param timedOutSinceNanos the monotonic time in nanoseconds at which the coordinator timed out
   * @param rounding a number from 0 to 1, evenly distributed over the hosts, by which a share of
   *     less than one request is rounded
   * @return whether the request is admitted
   */
  boolean admitUncoordinated(
      SteeringWorkspace workspace,
      int hosts,
      int granted,
      long timedOutSinceNanos,
      double rounding) {
    long now = clock.nanoTime();
    double elapsedMillis = (now - timedOutSinceNanos) / 1e6 - UNCOORDINATED_DELAY_MILLIS;
    double elapsed = Math.max(0, Math.min(1, elapsedMillis / windowMillis()));
    double share = limitPerWindow(workspace) / Math.max(1, hosts);
    double evenShare = Math.min(share * elapsed, share - granted);
    Allowance allowance = new Allowance(evenShare, 1, rounding, bounds.quotaWindowMillis());
    return usage(workspace.name()).uncoordinated.tryAdd(allowance, now);
  }

  /**
   * Describes what this peer would admit of a workspace's requests now; counts nothing.
   *
   * @param workspace the name of the workspace
   * @param coordinates whether this peer coordinates the workspace in a large fleet
   * @param coordinator the name of this host as coordinator, empty in a small fleet
   */
  QuotaView view(String workspace, boolean coordinates, String coordinator) {
    Usage usage = usages.get(workspace);
    if (usage == null) {
      return new QuotaView(QuotaView.DecidedBy.THIS_HOST, coordinator, 0, 0, 0, 0);
    }
    long now = clock.nanoTime();
    Allocation allocation = usage.allocation;
    double headroom = allocation.headroom - (coordinates ? usage.grantedByOthers(now) : 0);
    double share = allocation.share * (coordinates ? 1 : usableFraction(now));
    Allowance allowance = new Allowance(headroom, share, 0, allocation.recentMillis);
    return new QuotaView(
        QuotaView.DecidedBy.THIS_HOST,
        coordinator,
        headroom,
        share,
        usage.admitted.count(now),
        usage.admitted.remaining(allowance, now));
  }

  /** Returns the requests within the window that were admitted here by this peer's share. */
  int admittedHere(String workspace) {
    Usage usage = usages.get(workspace);
    return usage == null ? 0 : usage.admitted.count(clock.nanoTime());
  }

  /** Returns the requests within the window that were admitted here without a coordinator. */
  int admittedUncoordinated(String workspace) {
    Usage usage = usages.get(workspace);
    return usage == null ? 0 : usage.uncoordinated.count(clock.nanoTime());
  }

  /**
   * Returns the fraction of the window that this process may use, at most 1.
   *
   * <p>An earlier process of this host may have used the window before this one started.
   */
  private double usableFraction(long now) {
    long millis = TimeUnit.NANOSECONDS.toMillis(now - startNanos) + STARTUP_MILLIS;
    return Math.min(1, millis / windowMillis());
  }

  private Usage usage(String workspace) {
    return usages.computeIfAbsent(workspace, name -> new Usage());
  }

  /**
   * Takes over the admissions of an earlier coordinator.
   *
   * @param workspace the name of the workspace
   * @param history what it had reported, which may still be updated
   */
  void inherit(String workspace, AdmissionHistory history) {
    usage(workspace).inherited = history;
  }

  /**
   * Measures demand and allocates the rates anew.
   *
   * @param workspaces the workspaces for which this host admits requests
   * @param reservedFraction the fraction of the total that is reserved for hosts that may admit
   *     requests, or may have admitted them within the window, without this peer's knowledge
   * @param liveIncarnations the incarnations of the processes that are alive
   */
  synchronized void allocate(
      Collection<SteeringWorkspace> workspaces,
      double reservedFraction,
      Set<String> liveIncarnations) {
    long now = clock.nanoTime();
    double seconds = Math.max(1e-3, (now - lastNanos) / 1e9);
    lastNanos = now;
    peers.refresh();
    for (SteeringWorkspace workspace : workspaces) {
      if (workspace.ratePerSecond() <= 0) {
        continue;
      }
      Usage usage = usage(workspace.name());
      double requested = usage.requested.sumThenReset() / seconds;
      usage.demand +=
          (1 - Math.exp(-seconds / DEMAND_AVERAGING_SECONDS)) * (requested - usage.demand);
      double limit = limitPerWindow(workspace);
      PeerTotals others = peers.totals(workspace.name(), limit);
      double own = usage.demand;
      int count = Math.max(others.count(), others.alive() + 1);
      double share =
          share(workspace.ratePerSecond(), count, others.alive(), own, others.demandPerSecond());
      // What this coordinator granted to processes that are gone is part of their reserved share.
      usage.reserved =
          Math.max(0, limit * reservedFraction - usage.grantedToOthersThan(liveIncarnations, now));
      double headroom = limit - others.admitted();
      usage.allocation =
          new Allocation(
              headroom,
              others.unknown(),
              share / others.aliveFraction(),
              others.recent(),
              others.propagationMillis());
    }
  }

  private double windowMillis() {
    return Math.max(1, bounds.quotaWindowMillis());
  }

  /** Returns the requests of a workspace that all hosts together may admit in one window. */
  private double limitPerWindow(SteeringWorkspace workspace) {
    double base = workspace.ratePerSecond() * windowMillis() / 1_000 + workspace.burst();
    return base * (1 + bounds.quotaOvershoot() * OVERSHOOT_FRACTION)
        + bounds.quotaSlack() * SLACK_FRACTION;
  }

  /**
   * Returns this peer's fraction of a total, from 0 to 1.
   *
   * @param rate the rate of the workspace in requests per second
   * @param count the number of all peers, this one included
   * @param alive the number of other peers that are alive
   * @param demand this peer's demand in requests per second
   * @param demandOfOthers the demand of the other live peers in requests per second
   */
  static double share(double rate, int count, int alive, double demand, double demandOfOthers) {
    double even = 1.0 / count;
    double allocated = even * (alive + 1);
    double idle = rate * even * IDLE_FRACTION;
    double all = demand + demandOfOthers + idle * (alive + 1);
    return allocated * (demand + idle) / all;
  }

  /** Receives the usage of workspaces that others need to know. */
  interface UsageVisitor {

    /**
     * Receives the usage of one workspace.
     *
     * @param workspace the name of the workspace
     * @param perSecond the requests per second that callers send, refused ones included
     * @param admitted the requests within the window that are known to be admitted
     * @param charged the same, and those that may have been admitted without this peer's knowledge
     */
    void visit(String workspace, double perSecond, int admitted, int charged);
  }

  /** Visits the usage of each workspace that has demand or admissions. */
  void forEachUsage(UsageVisitor visitor) {
    long now = clock.nanoTime();
    usages.forEach(
        (name, usage) -> {
          int own = usage.admitted.count(now);
          int admitted = own + (int) Math.round(usage.grantedByOthers(now));
          int charged = own + (int) Math.ceil(usage.unknownOrGrantedByOthers(now));
          if (usage.demand > 0.01 || admitted > 0) {
            visitor.visit(name, usage.demand, admitted, charged);
          }
        });
  }

  /** Returns the requests that are reserved for hosts that this peer does not know enough of. */
  int reserved(String workspace) {
    Usage usage = usages.get(workspace);
    return usage == null ? 0 : (int) Math.ceil(usage.reserved);
  }
}
