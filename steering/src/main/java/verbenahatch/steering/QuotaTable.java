package verbenahatch.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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
 * <p>Thread-safe. A registered host that is not heard counts with an even part, and a host that
 * hears nobody takes an even part for itself, so the parts on both sides of a cut fit the total.
 */
final class QuotaTable {

  /** Time over which demand is averaged; requests of a small workspace come seconds apart. */
  private static final double DEMAND_SECONDS = 2;

  /** Part of an even share that each host keeps without demand, so that first requests pass. */
  private static final double IDLE_PART = 0.4;

  /**
   * Part of the allowed excess that is handed out, because a burst divided among hosts refuses
   * requests that one bucket would admit. The rest covers beats that arrive late.
   */
  private static final double EXCESS_PART = 0.75;

  private static final class Account {
    final TokenBucket bucket;
    final LongAdder asked = new LongAdder();
    volatile double demand;

    Account(long nowNanos) {
      // A new account starts empty; the burst may have been spent by an earlier process.
      bucket = new TokenBucket(0, 0, 0, nowNanos);
    }
  }

  private final Clock clock;
  private final HostTable hosts;
  private final Bounds bounds;
  private final Map<String, Account> accounts = new ConcurrentHashMap<>();
  private long lastNanos;

  QuotaTable(Clock clock, HostTable hosts, Bounds bounds) {
    this.clock = clock;
    this.hosts = hosts;
    this.bounds = bounds;
    this.lastNanos = clock.nanoTime();
  }

  /** Counts a request and tells whether it is inside the rate. */
  boolean admit(SteeringWorkspace workspace) {
    if (workspace.ratePerSecond() <= 0) {
      return true;
    }
    Account account = account(workspace.name());
    account.asked.increment();
    return account.bucket.tryTake(clock.nanoTime());
  }

  private Account account(String workspace) {
    return accounts.computeIfAbsent(workspace, name -> new Account(clock.nanoTime()));
  }

  /** Measures demand and divides the rates anew. */
  synchronized void divide(SteeringDocument document) {
    long now = clock.nanoTime();
    double seconds = Math.max(1e-3, (now - lastNanos) / 1e9);
    lastNanos = now;
    List<HostBeat> live = hosts.live();
    int count = Math.max(hosts.count(), live.size() + 1);
    Map<String, Double> demandOfOthers = demands(live);
    for (SteeringWorkspace workspace : document.workspaces()) {
      if (workspace.ratePerSecond() <= 0) {
        continue;
      }
      Account account = account(workspace.name());
      double asked = account.asked.sumThenReset() / seconds;
      account.demand += (1 - Math.exp(-seconds / DEMAND_SECONDS)) * (asked - account.demand);
      double others = demandOfOthers.getOrDefault(workspace.name(), 0.0);
      double share = share(workspace.ratePerSecond(), count, live.size(), account.demand, others);
      double excess = 1 + bounds.quotaOvershoot() * EXCESS_PART;
      double rate = workspace.ratePerSecond() * excess;
      double burst = workspace.burst() * excess + bounds.quotaSlack() * EXCESS_PART;
      account.bucket.set(rate * share, burst * share, now);
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
    accounts.forEach(
        (name, account) -> {
          if (account.demand > 0.01) {
            beat.addDemands(
                WorkspaceDemand.newBuilder()
                    .setWorkspace(name)
                    .setPerSecond((float) account.demand));
          }
        });
  }
}
