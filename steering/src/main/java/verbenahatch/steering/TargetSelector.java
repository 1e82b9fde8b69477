package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Hashing;
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

  /** Use of the own region's slots, relative to the mean, at which first requests leave it. */
  private static final double OWN_REGION_PREFERENCE = 1.5;

  /** Use of a region's slots above which their time has a price. */
  private static final double PRICED_USE = 0.5;

  /** Price of a millisecond of a slot's time when all slots of a region are used. */
  private static final double FULL_PRICE = 2;

  /** Keeps an object's position among regions apart from its place among targets. */
  private static final long REGION_SALT = 0x5bd1e995L;

  /** Targets queue about three requests per slot before they reject. */
  private static final double MAX_LOAD_PER_SLOT = 3.5;

  /** Weight of a nearly full target, whose next request is likely to wait. */
  private static final double CROWDING_WEIGHT = 0.3;

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
   * @param spareMillis the time until the target latency is over
   * @param waitMillis the time for which the request may wait for a slot even if it is late then
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
      VersionRule rule,
      double spareMillis,
      double waitMillis) {}

  /** Tells where a request goes. */
  sealed interface Outcome {

    /**
     * No target may take the request.
     *
     * @param shortestWaitMillis the wait at the best target; the largest number if none is usable
     */
    record None(double shortestWaitMillis) implements Outcome {
      @Override
      public String toString() {
        if (shortestWaitMillis == Double.MAX_VALUE) {
          return "no usable target. ";
        }
        return "wait of " + Math.round(shortestWaitMillis) + " ms is too long. ";
      }
    }
  }

  /**
   * Holds a choice.
   *
   * @param target the target
   * @param heat whether the target probably holds the object
   * @param costMillis the time after which the answer is expected, with the price of slots
   * @param waitMillis the part of it for which the request waits for a slot
   * @param workMillis the part of it for which the target works
   */
  record Choice(
      Target target, ObjectHeat heat, double costMillis, double waitMillis, double workMillis)
      implements Outcome {}

  private final Clock clock;
  private final TargetTable table;
  private final HostTable hosts;

  TargetSelector(Clock clock, TargetTable table, HostTable hosts) {
    this.clock = clock;
    this.table = table;
    this.hosts = hosts;
  }

  /** Chooses a target among those at which the request waits no longer than it may. */
  Outcome choose(Need need) {
    long now = clock.nanoTime();
    List<Target> usable = new ArrayList<>();
    int connections = connectionsPerHost(need);
    for (Target target : need.service.targets) {
      if (target.inFlight.get() < connections && isUsable(target, need, now)) {
        usable.add(target);
      }
    }
    Map<String, Target> first = firstForObject(usable, need);
    Map<String, Double> prices = slotPrices(usable, now);
    Map<String, Choice> byRegion = new HashMap<>();
    double shortest = Double.MAX_VALUE;
    for (Target target : usable) {
      double price = prices.getOrDefault(target.region, 0.0);
      Choice choice = estimate(target, heat(target, first, need), need, price, now);
      if (choice == null) {
        continue;
      }
      shortest = Math.min(shortest, choice.waitMillis);
      // Under load a request does not leave a queue for a target where its object is cold: that
      // takes more slot time than it saves, and the overload goes on.
      if (price > 0 || choice.waitMillis <= longestWait(choice, need)) {
        byRegion.merge(target.region, choice, TargetSelector::sooner);
      }
    }
    if (byRegion.isEmpty()) {
      return new Outcome.None(shortest);
    }
    Choice best = paced(byRegion, need, now);
    if (best.waitMillis > longestWait(best, need)) {
      return new Outcome.None(best.waitMillis);
    }
    if (best.target.isCold(now) && !takeWarmUp(best.target, need, now)) {
      return new Outcome.None(Double.MAX_VALUE);
    }
    return best;
  }

  private static double longestWait(Choice choice, Need need) {
    return Math.max(need.spareMillis - choice.workMillis, need.waitMillis);
  }

  /** Finds the first target of each region in the hash order of the object. */
  private static Map<String, Target> firstForObject(List<Target> usable, Need need) {
    Map<String, Target> first = new HashMap<>();
    if (!need.named) {
      return first;
    }
    Map<String, Long> lowest = new HashMap<>();
    for (Target target : usable) {
      long hash = Hashing.mix(target.idHash ^ need.objectHash);
      Long known = lowest.get(target.region);
      if (known == null || hash < known) {
        lowest.put(target.region, hash);
        first.put(target.region, target);
      }
    }
    return first;
  }

  /**
   * Prices the time of slots by region.
   *
   * <p>Under load a request that takes long, because its object is cold at the target, takes the
   * place of several others.
   */
  private static Map<String, Double> slotPrices(List<Target> usable, long now) {
    Map<String, double[]> sums = new HashMap<>();
    for (Target target : usable) {
      double[] sum = sums.computeIfAbsent(target.region, region -> new double[2]);
      sum[0] += target.load(now);
      sum[1] += Math.max(1, target.record().slots());
    }
    Map<String, Double> prices = new HashMap<>();
    sums.forEach(
        (region, sum) -> {
          double over = (Math.min(1, sum[0] / sum[1]) - PRICED_USE) / (1 - PRICED_USE);
          prices.put(region, Math.max(0, over) * FULL_PRICE);
        });
    return prices;
  }

  private static ObjectHeat heat(Target target, Map<String, Target> first, Need need) {
    if (!need.named) {
      return ObjectHeat.COLD;
    }
    if (target.recent.contains(need.objectHash)) {
      return ObjectHeat.WARM;
    }
    return first.get(target.region) == target ? ObjectHeat.LIKELY_WARM : ObjectHeat.COLD;
  }

  private static Choice sooner(Choice one, Choice other) {
    return other.costMillis < one.costMillis ? other : one;
  }

  /**
   * Divides the first requests by the slots of the regions.
   *
   * <p>Regions are taken to have equal demand until queues tell otherwise, and a region's own
   * targets may be used above the mean before requests leave it.
   */
  private static Map<String, Double> initialShares(Set<String> regions, Need need) {
    Map<String, Double> slots = new HashMap<>();
    double all = 0;
    for (Target target : need.service.targets) {
      if (regions.contains(target.region)) {
        slots.merge(target.region, (double) Math.max(1, target.record().slots()), Double::sum);
        all += Math.max(1, target.record().slots());
      }
    }
    double own = slots.getOrDefault(need.region, 0.0);
    boolean alone = own >= all;
    double kept = alone ? 1 : Math.min(1, OWN_REGION_PREFERENCE * own * slots.size() / all);
    Map<String, Double> shares = new HashMap<>();
    for (Map.Entry<String, Double> entry : slots.entrySet()) {
      boolean isOwn = entry.getKey().equals(need.region);
      shares.put(entry.getKey(), isOwn ? kept : (1 - kept) * entry.getValue() / (all - own));
    }
    return shares;
  }

  private static Choice paced(Map<String, Choice> byRegion, Need need, long now) {
    Choice best = null;
    for (Choice choice : byRegion.values()) {
      best = best == null ? choice : sooner(best, choice);
    }
    if (best == null) {
      throw new IllegalArgumentException("no choice");
    }
    if (!need.tried.isEmpty()) {
      return best;
    }
    RegionShares regions = need.service.regions;
    if (!regions.isStarted()) {
      regions.start(initialShares(byRegion.keySet(), need), now);
    }
    boolean lossNear = need.service.isLossNear(now);
    // Requests for one object stay together, so that it is not loaded once in each region.
    double position = need.named ? Hashing.unit(need.objectHash ^ REGION_SALT) : -1;
    String region = regions.next(best.target.region, byRegion.keySet(), position, lossNear, now);
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

  /**
   * Tells whether this host should send a target its first request.
   *
   * <p>Objects stay where they are warm, so a target that joined later would get none of those in
   * use. A few hosts hand it the next object that is its by hash.
   */
  private boolean isDueFirstRequest(Target target, long now) {
    return !target.isUsed()
        && !target.isCold(now)
        && hosts.isWarmUpOwner(target.idHash, target.region);
  }

  /** Returns this host's part of the connections that a target takes; at least one. */
  private int connectionsPerHost(Need need) {
    if (need.definition == null || need.definition.maxConnections() <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, need.definition.maxConnections() / hosts.fleetSize());
  }

  private @Nullable Choice estimate(
      Target target, ObjectHeat heat, Need need, double slotPrice, long now) {
    int slots = Math.max(1, target.record().slots());
    double load = target.load(now);
    if (load >= slots * MAX_LOAD_PER_SLOT) {
      return null;
    }
    ServiceTargets service = need.service;
    double extra = service.coldMillis() - service.warmMillis();
    double work = service.warmMillis() + extra * heat.coldPart();
    work *= target.slowness(now);
    if (target.isCold(now)) {
      work *= COLD_TARGET_FACTOR;
    }
    double ahead = Math.max(0, load + 1 - slots);
    double wait = ahead / slots * service.warmMillis() * target.slowness(now);
    double used = Math.min(1, load / slots);
    double crowding = CROWDING_WEIGHT * service.warmMillis() * Math.pow(used, 4);
    double expected = work + wait + crowding + FAILURE_MILLIS * target.failureShare(now);
    if (heat == ObjectHeat.LIKELY_WARM && wait == 0 && isDueFirstRequest(target, now)) {
      expected = 0;
    }
    if (!target.region.equals(need.region)) {
      expected += REMOTE_REGION_MILLIS + need.bodyBytes / 1024.0 * REMOTE_KILOBYTE_MILLIS;
    }
    double price = expected == 0 ? 0 : slotPrice * work;
    return new Choice(target, heat, expected + price, wait, work);
  }
}
