package verbenahatch.steering;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.model.SteeringDocument.SteeringService;
import verbenahatch.steering.model.TargetRecord;

/**
 * Chooses the target from which the answer is expected first.
 *
 * <p>Hosts agree on the first target for an object by rendezvous hashing, so that it keeps the
 * object warm; queues, distance and failures decide when another one is better.
 */
final class TargetSelector {

  /** Cost of another region: the way there and back, and the price of its bytes. */
  private static final double REMOTE_REGION_MILLIS = 120;

  /** Further cost of each kilobyte that crosses regions, whose links are capped. */
  private static final double REMOTE_KILOBYTE_MILLIS = 3;

  /** A cold target takes this many times as long. */
  private static final double COLD_TARGET_FACTOR = 2;

  /** Cost of a certain failure, in milliseconds: a repeat and its wait. */
  private static final double FAILURE_MILLIS = 2_500;

  /** Use of a region's slots above which their time has a price. */
  private static final double PRICED_USE = 0.5;

  /** Price of a millisecond of a slot's time when all slots of a region are used. */
  private static final double FULL_PRICE = 2;

  /** Targets queue about three requests per slot before they reject. */
  private static final double MAX_LOAD_PER_SLOT = 3.5;

  /** Weight of a nearly full target, whose next request is likely to wait. */
  private static final double CROWDING_WEIGHT = 0.3;

  /** Places in the hash order that are told apart; an object overflows to the next place. */
  static final int RANKS = 3;

  /** Part of the time for a cold object that each place takes on top of that for a warm one. */
  private static final double[] COLD_PART = {0, 0.8, 0.9, 1};

  /** The first targets of a region for an object. */
  private static final class Ranking {

    private final Target[] targets = new Target[RANKS];
    private final long[] hashes = new long[RANKS];
    private int size;

    void add(Target target, long hash) {
      int place = size;
      while (place > 0 && hash < hashes[place - 1]) {
        place--;
      }
      if (place >= RANKS) {
        return;
      }
      size = Math.min(RANKS, size + 1);
      for (int i = size - 1; i > place; i--) {
        targets[i] = targets[i - 1];
        hashes[i] = hashes[i - 1];
      }
      targets[place] = target;
      hashes[place] = hash;
    }

    int of(Target target) {
      for (int i = 0; i < size; i++) {
        if (targets[i] == target) {
          return i;
        }
      }
      return RANKS;
    }
  }

  /**
   * Describes a request to the selector.
   *
   * @param service the targets to choose from
   * @param definition what the operator says of the service, null if nothing
   * @param objectHash the hash of the object's name, or of the request if it names none
   * @param named whether the request names an object
   * @param region the region of this host
   * @param homes the regions in which the request may run; empty if all may
   * @param bodyBytes the bytes of the request's body
   * @param tried the targets that had the request already
   * @param rule the versions that the request may use
   */
  record Need(
      ServiceTargets service,
      @Nullable SteeringService definition,
      long objectHash,
      boolean named,
      String region,
      Set<String> homes,
      long bodyBytes,
      Set<Target> tried,
      VersionRule rule) {}

  /**
   * Holds a choice.
   *
   * @param target the target
   * @param rank the place of the target in the hash order of its region for the object
   * @param costMillis the time after which the answer is expected, with the price of slots
   * @param waitMillis the part of it for which the request waits for a slot
   * @param workMillis the part of it for which the target works
   */
  record Choice(Target target, int rank, double costMillis, double waitMillis, double workMillis) {}

  private final Clock clock;
  private final TargetTable table;
  private final HostTable hosts;

  TargetSelector(Clock clock, TargetTable table, HostTable hosts) {
    this.clock = clock;
    this.table = table;
    this.hosts = hosts;
  }

  /** Chooses a target, null if none may take the request. */
  @Nullable Choice choose(Need need) {
    long now = clock.nanoTime();
    List<Target> targets = need.service.targets;
    Map<String, Ranking> rankings = new HashMap<>();
    for (Target target : targets) {
      if (need.named && isUsable(target, need, now)) {
        long hash = Hashing.mix(target.idHash ^ need.objectHash);
        rankings.computeIfAbsent(target.region, region -> new Ranking()).add(target, hash);
      }
    }
    Map<String, Double> prices = slotPrices(targets, need, now);
    Map<String, Choice> byRegion = new HashMap<>();
    Choice best = null;
    for (Target target : targets) {
      if (!isUsable(target, need, now)) {
        continue;
      }
      Ranking ranking = rankings.get(target.region);
      int rank = ranking == null ? RANKS : ranking.of(target);
      Choice choice = estimate(target, rank, need, prices.getOrDefault(target.region, 0.0), now);
      if (choice == null) {
        continue;
      }
      byRegion.merge(target.region, choice, TargetSelector::sooner);
      best = best == null ? choice : sooner(best, choice);
    }
    best = best == null ? null : paced(best, byRegion, need, now);
    if (best != null && best.target.isCold(now) && !takeWarmUp(best.target, need, now)) {
      return null;
    }
    return best;
  }

  /**
   * Prices the time of slots by region.
   *
   * <p>Under load a request that takes long, because its object is cold at the target, takes the
   * place of several others.
   */
  private Map<String, Double> slotPrices(List<Target> targets, Need need, long now) {
    Map<String, double[]> sums = new HashMap<>();
    for (Target target : targets) {
      if (isUsable(target, need, now)) {
        double[] sum = sums.computeIfAbsent(target.region, region -> new double[2]);
        sum[0] += target.load(now);
        sum[1] += Math.max(1, target.record().slots());
      }
    }
    Map<String, Double> prices = new HashMap<>();
    sums.forEach(
        (region, sum) -> {
          double over = (Math.min(1, sum[0] / sum[1]) - PRICED_USE) / (1 - PRICED_USE);
          prices.put(region, Math.max(0, over) * FULL_PRICE);
        });
    return prices;
  }

  private static Choice sooner(Choice one, Choice other) {
    return other.costMillis < one.costMillis ? other : one;
  }

  private static Choice paced(Choice best, Map<String, Choice> byRegion, Need need, long now) {
    if (!need.tried.isEmpty()) {
      return best;
    }
    boolean lossNear = need.service.isLossNear(now);
    String region = need.service.regions.next(best.target.region, byRegion.keySet(), lossNear, now);
    Choice drawn = region == null ? null : byRegion.get(region);
    return drawn == null ? best : drawn;
  }

  private boolean isUsable(Target target, Need need, long now) {
    TargetRecord record = target.record();
    if (!target.isOffered() || target.isEjected(now) || table.isEvacuated(record.zone())) {
      return false;
    }
    if (!need.homes.isEmpty() && !need.homes.contains(target.region)) {
      return false;
    }
    if (need.tried.contains(target) || !need.rule.allows(record.version())) {
      return false;
    }
    if (target.isOnTrial() && target.inFlight.get() > 0) {
      return false;
    }
    return !target.isCold(now) || mayWarmUp(target, need, now);
  }

  private boolean mayWarmUp(Target target, Need need, long now) {
    return hosts.isWarmUpOwner(target.idHash, target.region)
        && target.warmUp(warmUpRate(need), now).hasToken(now);
  }

  private boolean takeWarmUp(Target target, Need need, long now) {
    return target.warmUp(warmUpRate(need), now).tryTake(now);
  }

  private static double warmUpRate(Need need) {
    double all = need.definition == null ? 1 : need.definition.warmUpPerSecond();
    return all / HostTable.warmUpOwners();
  }

  private @Nullable Choice estimate(
      Target target, int rank, Need need, double slotPrice, long now) {
    int slots = Math.max(1, target.record().slots());
    double load = target.load(now);
    if (load >= slots * MAX_LOAD_PER_SLOT) {
      return null;
    }
    ServiceTargets service = need.service;
    double extra = service.coldMillis() - service.warmMillis();
    double work = service.warmMillis() + extra * COLD_PART[rank];
    work *= target.slowness(now);
    if (target.isCold(now)) {
      work *= COLD_TARGET_FACTOR;
    }
    double ahead = Math.max(0, load + 1 - slots);
    double wait = ahead / slots * service.warmMillis() * target.slowness(now);
    double used = Math.min(1, load / slots);
    double crowding = CROWDING_WEIGHT * service.warmMillis() * Math.pow(used, 4);
    double expected = work + wait + crowding + FAILURE_MILLIS * target.failureShare(now);
    if (!target.region.equals(need.region)) {
      expected += REMOTE_REGION_MILLIS + need.bodyBytes / 1024.0 * REMOTE_KILOBYTE_MILLIS;
    }
    return new Choice(target, rank, expected + slotPrice * work, wait, work);
  }
}
