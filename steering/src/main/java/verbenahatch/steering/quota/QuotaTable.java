package verbenahatch.steering.quota;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.quota.AdmittingPeers.Others;
import verbenahatch.steering.quota.SlidingCount.Allowance;

/**
 * Divides the rates of workspaces among those that admit requests, by demand.
 *
 * <p>Thread-safe. Those that admit are the hosts of a small fleet, or the homes of the regions in a
 * large one. What all together may admit in one window is known from the terms. They know of each
 * other's admissions after a short time; what was left at that time is divided by demand, and each
 * admits its part of it. One that is registered and not heard counts with an even part, and one
 * that hears nobody takes an even part for itself, so the parts on both sides of a cut fit the
 * total.
 */
final class QuotaTable {

  /** Time over which demand is averaged; requests of a small workspace come seconds apart. */
  private static final double DEMAND_SECONDS = 1.3;

  /** Time for which a process may admit requests at once when it starts, in milliseconds. */
  private static final long FIRST_MILLIS = 250;

  /** Part of an even share that each keeps without demand, so that first requests pass. */
  private static final double IDLE_PART = 0.4;

  /**
   * Part of the allowed overshoot that is used. The rest covers the time until a cut is noticed,
   * and requests that wait between their admission and their target; AdmissionTest plays both.
   */
  private static final double OVERSHOOT_PART = 0.1;

  /** Part of the allowed slack that is used; most of what a small workspace may send is slack. */
  private static final double SLACK_PART = 0.4;

  /**
   * Holds what may be admitted here.
   *
   * @param left the requests that this host and those that it hears may admit in one window, less
   *     those that the others admitted
   * @param share this host's part of what is left
   * @param recentMillis the time until the others know of an admission
   */
  private record Division(double left, double share, long recentMillis) {}

  /** Requests that a host was granted by others within the window, and when it said so. */
  private record Elsewhere(int requests, long atNanos) {}

  /** Requests within the window that an earlier home had admitted when it was last heard. */
  private record Inherited(int requests, long atNanos) {}

  private final class Account {
    final SlidingCount admitted = new SlidingCount(bounds.quotaWindowMillis());
    final SlidingCount alone = new SlidingCount(bounds.quotaWindowMillis());
    final LongAdder asked = new LongAdder();
    final Map<String, Elsewhere> elsewhere = new ConcurrentHashMap<>();
    volatile double demand;
    volatile Inherited inherited = new Inherited(0, 0);
    volatile Division division = new Division(0, 0, 0);
    private @Nullable HeardPart heardPart;

    /** Returns the part of those that admit whose admissions within the window are known. */
    double knownPart(double heard, long now) {
      HeardPart part = heardPart;
      if (part == null) {
        // What happened before the start of the process is taken into account when it admits.
        part = new HeardPart(bounds.quotaWindowMillis(), heard, now);
        heardPart = part;
      }
      return part.update(heard, now);
    }

    /**
     * Returns the requests within the window that others granted.
     *
     * <p>Hosts that ask say what they were granted; an earlier home said what it had admitted,
     * which also counts hosts that were lost since.
     */
    double known(long now) {
      long limit = TimeUnit.MILLISECONDS.toNanos(bounds.quotaWindowMillis());
      double sum = 0;
      elsewhere.values().removeIf(granted -> now - granted.atNanos > limit);
      for (Elsewhere granted : elsewhere.values()) {
        sum += granted.requests;
      }
      Inherited earlier = inherited;
      double left = 1 - (now - earlier.atNanos) / 1e6 / windowMillis();
      return Math.max(sum, earlier.requests * Math.max(0, left));
    }
  }

  private final Clock clock;
  private final Bounds bounds;
  private final AdmittingPeers peers;
  private final Map<String, Account> accounts = new ConcurrentHashMap<>();
  private final long startNanos;
  private long lastNanos;

  QuotaTable(Clock clock, Bounds bounds, AdmittingPeers peers) {
    this.clock = clock;
    this.bounds = bounds;
    this.peers = peers;
    this.startNanos = clock.nanoTime();
    this.lastNanos = startNanos;
  }

  /** Counts a request of this host's callers and tells whether it is inside the rate. */
  boolean admit(SteeringWorkspace workspace) {
    Account account = account(workspace.name());
    account.asked.increment();
    Division division = account.division;
    long now = clock.nanoTime();
    double share = division.share * filled(now);
    Allowance allowance = new Allowance(division.left, share, 0, division.recentMillis);
    return account.admitted.tryAdd(allowance, now);
  }

  /**
   * Counts a request of a host that asks and tells whether it is inside the rate.
   *
   * @param workspace the name of the workspace
   * @param incarnation the process that asks
   * @param grantedElsewhere what it was granted by others within the window
   * @return whether the request is admitted
   */
  boolean admitFor(String workspace, String incarnation, int grantedElsewhere) {
    Account account = account(workspace);
    account.asked.increment();
    long now = clock.nanoTime();
    if (grantedElsewhere > 0) {
      account.elsewhere.put(incarnation, new Elsewhere(grantedElsewhere, now));
    } else {
      account.elsewhere.remove(incarnation);
    }
    Division division = account.division;
    double left = division.left - account.known(now);
    Allowance allowance = new Allowance(left, division.share, 0, division.recentMillis);
    return account.admitted.tryAdd(allowance, now);
  }

  /**
   * Counts a request that no home decides and tells whether it is inside an even part of the rate.
   *
   * @param workspace the workspace
   * @param hosts the known hosts
   * @param granted what homes granted this process within the window
   * @param silentNanos the time since which the home is silent
   * @param draw a number from 0 to 1 that rounds a part of less than a request
   * @return whether the request is admitted
   */
  boolean admitAlone(
      SteeringWorkspace workspace, int hosts, int granted, long silentNanos, double draw) {
    long now = clock.nanoTime();
    // The home may go on with the whole rate until it notices that this host is cut off from it.
    double passed = Math.min(1, (now - silentNanos) / 1e6 / windowMillis());
    double even = mostPerWindow(workspace) / Math.max(1, hosts) * passed - granted;
    Allowance allowance = new Allowance(even, 1, draw * passed, bounds.quotaWindowMillis());
    return account(workspace.name()).alone.tryAdd(allowance, now);
  }

  /** Returns the requests within the window that were admitted here by this host's part. */
  int admittedHere(String workspace) {
    Account account = accounts.get(workspace);
    return account == null ? 0 : account.admitted.count(clock.nanoTime());
  }

  /** Returns the requests within the window that were admitted while no home decided. */
  int admittedAlone(String workspace) {
    Account account = accounts.get(workspace);
    return account == null ? 0 : account.alone.count(clock.nanoTime());
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
    return accounts.computeIfAbsent(workspace, name -> new Account());
  }

  /**
   * Takes over the admissions of an earlier home.
   *
   * @param workspace the name of the workspace
   * @param requests what it had admitted within the window
   * @param atNanos the time from which they leave the window
   */
  void inherit(String workspace, int requests, long atNanos) {
    account(workspace).inherited = new Inherited(requests, atNanos);
  }

  /**
   * Measures demand and divides the rates anew.
   *
   * @param workspaces the workspaces for which this host admits
   * @param part the part of the total that those that admit may divide, from 0 to 1
   */
  synchronized void divide(Collection<SteeringWorkspace> workspaces, double part) {
    long now = clock.nanoTime();
    double seconds = Math.max(1e-3, (now - lastNanos) / 1e9);
    lastNanos = now;
    peers.refresh();
    for (SteeringWorkspace workspace : workspaces) {
      if (workspace.ratePerSecond() <= 0) {
        continue;
      }
      Account account = account(workspace.name());
      double asked = account.asked.sumThenReset() / seconds;
      account.demand += (1 - Math.exp(-seconds / DEMAND_SECONDS)) * (asked - account.demand);
      Others others = peers.others(workspace.name());
      double heard = others.heardPart();
      double known = account.knownPart(heard, now);
      double own = account.demand;
      int count = Math.max(others.count(), others.heard() + 1);
      double share =
          share(workspace.ratePerSecond(), count, others.heard(), own, others.demandPerSecond());
      double most = mostPerWindow(workspace) * part;
      double left = most * known - others.admitted();
      account.division = new Division(left, share / heard, others.knownAfterMillis());
    }
  }

  private double windowMillis() {
    return Math.max(1, bounds.quotaWindowMillis());
  }

  /** Returns what all hosts together admit of a workspace in one window. */
  private double mostPerWindow(SteeringWorkspace workspace) {
    double base = workspace.ratePerSecond() * windowMillis() / 1_000 + workspace.burst();
    return base * (1 + bounds.quotaOvershoot() * OVERSHOOT_PART) + bounds.quotaSlack() * SLACK_PART;
  }

  /** Returns this host's part of a total, from 0 to 1. */
  static double share(double rate, int count, int heard, double demand, double demandOfOthers) {
    double even = 1.0 / count;
    double divided = even * (heard + 1);
    double idle = rate * even * IDLE_PART;
    double all = demand + demandOfOthers + idle * (heard + 1);
    return divided * (demand + idle) / all;
  }

  /** Takes what others need to know of an account. */
  interface Description {

    /**
     * Takes one account.
     *
     * @param workspace the name of the workspace
     * @param perSecond the requests that callers bring, refused ones included
     * @param admitted the requests within the window that are known to be admitted
     */
    void account(String workspace, double perSecond, int admitted);
  }

  /** Describes the accounts that are in use. */
  void describe(Description description) {
    long now = clock.nanoTime();
    accounts.forEach(
        (name, account) -> {
          int known = account.admitted.count(now) + (int) Math.round(account.known(now));
          if (account.demand > 0.01 || known > 0) {
            description.account(name, account.demand, known);
          }
        });
  }
}
