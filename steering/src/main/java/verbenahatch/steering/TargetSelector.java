package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
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
 * Chooses the target with the lowest expected response time.
 *
 * <p>Hosts agree on the preferred target of an object by rendezvous hashing, so that its cache
 * stays warm for the object; queues, distance and failures decide when another one is better.
 */
final class TargetSelector {

  /** Cost of another region in ms: the round trip and a penalty for the traffic. */
  private static final double REMOTE_REGION_MILLIS = 120;

  /** Further cost in ms per kilobyte of body sent to another region, as links are capped. */
  private static final double REMOTE_KILOBYTE_MILLIS = 3;

  /** A cold target takes this many times as long. */
  private static final double COLD_TARGET_FACTOR = 2;

  /** Cost of a certain failure, in milliseconds: a retry and the wait before it. */
  private static final double FAILURE_MILLIS = 2_500;

  /**
   * Utilization of this region's slots, relative to the mean, above which first requests leave it.
   */
  private static final double OWN_REGION_UTILIZATION = 1.5;

  /** Utilization of a region's slots, from 0 to 1, above which slot time has a price. */
  private static final double PRICED_UTILIZATION = 0.5;

  /** Price of a millisecond of slot time, in ms, when all slots of a region are in use. */
  private static final double FULL_PRICE = 2;

  /** Makes the position of an object among regions independent of its order among targets. */
  private static final long REGION_SALT = 0x5bd1e995L;

  /** Targets queue about three requests per slot before they reject. */
  private static final double MAX_LOAD_PER_SLOT = 3.5;

  /** Weight of the cost of a nearly full target, whose next request is likely to wait. */
  private static final double CROWDING_WEIGHT = 0.3;

  /**
   * Holds the criteria by which the target of a request is chosen.
   *
   * @param service the targets to choose from
   * @param definition the operator's settings of the service, null if there are none
   * @param times the estimated processing times of the request's route
   * @param objectHash the hash of the object's name, or of the request id if it names no object
   * @param namesObject whether the request names an object
   * @param region the region of this host
   * @param allowedRegions the regions in which the request may run; empty if it may run in all
   * @param bodyBytes the length of the request's body in bytes
   * @param attempted the targets to which the request was sent already; no entry with the id of one
   *     of them is chosen
   * @param rule the versions that the request may use
   * @param latencyBudgetMillis the time in ms until the target latency is exceeded
   * @param maxWaitMillis the time in ms for which the request may wait for a slot even if it is
   *     late then
   */
  record Criteria(
      ServiceTargets service,
      @Nullable SteeringService definition,
      ProcessingTimes times,
      long objectHash,
      boolean namesObject,
      String region,
      Set<String> allowedRegions,
      long bodyBytes,
      Set<Target> attempted,
      VersionRule rule,
      double latencyBudgetMillis,
      double maxWaitMillis) {}

  /** The result of a choice: a target or none. */
  sealed interface Outcome {

    /**
     * No target may take the request.
     *
     * @param shortestWaitMillis the expected wait in ms at the best target; {@link
     *     Double#MAX_VALUE} if no target is usable
     * @param backOffMillis the time in ms until the first target takes requests of this host again,
     *     if all usable ones asked for a pause; 0 otherwise
     */
    record None(double shortestWaitMillis, long backOffMillis) implements Outcome {
      @Override
      public String toString() {
        if (backOffMillis > 0) {
          return "all targets asked for a pause, the shortest one of " + backOffMillis + " ms. ";
        }
        if (shortestWaitMillis == Double.MAX_VALUE) {
          return "no usable target. ";
        }
        return "wait of " + Math.round(shortestWaitMillis) + " ms is too long. ";
      }
    }
  }

  /**
   * Holds the chosen target and the estimates for it.
   *
   * @param target the target
   * @param cacheState how likely the target has the object in its cache
   * @param costMillis the expected response time in ms, plus the price of slot time
   * @param waitMillis the expected wait for a slot in ms
   * @param workMillis the expected processing time at the target in ms
   */
  record Choice(
      Target target, CacheState cacheState, double costMillis, double waitMillis, double workMillis)
      implements Outcome {

    /** Returns the expected time at the target in ms, including the wait for a slot. */
    double expectedMillis() {
      return waitMillis + workMillis;
    }
  }

  /**
   * Holds the parts of the estimated cost of a target, in ms.
   *
   * @param work the processing time
   * @param queueing the wait for a slot
   * @param crowding the cost of a nearly full target
   * @param failures the cost of recent failures
   * @param distance the cost of another region
   * @param price the price of slot time
   * @param due whether the target is due its first request, which makes work and waits free
   */
  record CostParts(
      double work,
      double queueing,
      double crowding,
      double failures,
      double distance,
      double price,
      boolean due) {

    double total() {
      return due ? distance + price : work + queueing + crowding + failures + distance + price;
    }
  }

  /**
   * Holds the estimates for a request and its probable outcome.
   *
   * @param costs the cost of each target that has room
   * @param outcome the probable choice, or none
   */
  record Preview(Map<Target, CostParts> costs, Outcome outcome) {}

  /** Holds the best choice of each region, and the shortest wait at any target. */
  private record RegionChoices(Map<String, Choice> best, double shortestWaitMillis) {}

  private final Clock clock;
  private final TargetTable table;
  private final HostTable hosts;

  TargetSelector(Clock clock, TargetTable table, HostTable hosts) {
    this.clock = clock;
    this.table = table;
    this.hosts = hosts;
  }

  /** Chooses a target among those with an expected wait within the limit of the request. */
  Outcome choose(Criteria criteria) {
    long now = clock.nanoTime();
    List<Target> usable = new ArrayList<>();
    int maxInFlight = connectionsPerHost(criteria);
    long shortestBackOff = Long.MAX_VALUE;
    for (Target target : criteria.service.targets) {
      if (target.inFlight.get() >= maxInFlight || !isUsable(target, criteria, now)) {
        continue;
      }
      long backOff = target.backOffMillis(now);
      if (backOff > 0) {
        shortestBackOff = Math.min(shortestBackOff, backOff);
        continue;
      }
      usable.add(target);
    }
    if (usable.isEmpty() && shortestBackOff != Long.MAX_VALUE) {
      return new Outcome.None(Double.MAX_VALUE, shortestBackOff);
    }
    RegionChoices choices = choicesByRegion(usable, criteria, now, null);
    Map<String, Choice> byRegion = choices.best;
    if (byRegion.isEmpty()) {
      return new Outcome.None(choices.shortestWaitMillis, 0);
    }
    Choice best = paceRegions(byRegion, criteria, now);
    if (best.waitMillis > maxWaitAt(best, criteria)) {
      return new Outcome.None(best.waitMillis, 0);
    }
    if (best.target.isCold(now) && !takeWarmUpToken(best.target, criteria, now)) {
      return new Outcome.None(Double.MAX_VALUE, 0);
    }
    return best;
  }

  /**
   * Estimates all usable targets and the choice among them, without changing anything.
   *
   * <p>The choice may differ from that of the next request: the weights of regions are read as they
   * are, and the region of a request that names no object would be drawn.
   *
   * @param criteria the criteria of the request; its targets are ignored
   * @param usable the targets that the request may be sent to
   */
  Preview preview(Criteria criteria, List<Target> usable) {
    long now = clock.nanoTime();
    Map<Target, CostParts> costs = new IdentityHashMap<>();
    RegionChoices choices = choicesByRegion(usable, criteria, now, costs);
    Choice best = null;
    for (Choice choice : choices.best.values()) {
      best = best == null ? choice : cheaper(best, choice);
    }
    if (best != null && criteria.namesObject) {
      double position = Hashing.toFraction(criteria.objectHash ^ REGION_SALT);
      String region = criteria.service.regionWeights.peek(choices.best.keySet(), position);
      best = region == null ? best : choices.best.getOrDefault(region, best);
    }
    if (best == null) {
      return new Preview(costs, new Outcome.None(choices.shortestWaitMillis, 0));
    }
    boolean waitsTooLong = best.waitMillis > maxWaitAt(best, criteria);
    return new Preview(costs, waitsTooLong ? new Outcome.None(best.waitMillis, 0) : best);
  }

  /** Returns the best choice of each region; also adds the cost of each target to a map, if any. */
  private RegionChoices choicesByRegion(
      List<Target> usable, Criteria criteria, long now, @Nullable Map<Target, CostParts> costs) {
    ObjectTargets preferred =
        new ObjectTargets(criteria.objectHash, criteria.namesObject ? usable : List.of(), now);
    Map<String, Double> prices = slotPrices(usable, now);
    Map<String, Choice> byRegion = new HashMap<>();
    double shortestWait = Double.MAX_VALUE;
    for (Target target : usable) {
      double price = prices.getOrDefault(target.region, 0.0);
      CacheState cacheState = cacheState(target, preferred, criteria);
      CostParts parts = estimate(target, cacheState, criteria, price, now);
      if (parts == null) {
        continue;
      }
      if (costs != null) {
        costs.put(target, parts);
      }
      Choice choice = new Choice(target, cacheState, parts.total(), parts.queueing, parts.work);
      shortestWait = Math.min(shortestWait, choice.waitMillis);
      // Under load a request must not leave a queue for a target where its object is cold: that
      // takes more slot time than it saves, and the overload continues.
      if (price > 0 || choice.waitMillis <= maxWaitAt(choice, criteria)) {
        byRegion.merge(target.region, choice, TargetSelector::cheaper);
      }
    }
    return new RegionChoices(byRegion, shortestWait);
  }

  private static double maxWaitAt(Choice choice, Criteria criteria) {
    return Math.max(criteria.latencyBudgetMillis - choice.workMillis, criteria.maxWaitMillis);
  }

  /**
   * Returns the price of slot time by region, in ms per ms.
   *
   * <p>Under load a request that takes long, because its object is cold at the target, displaces
   * several others.
   */
  private static Map<String, Double> slotPrices(List<Target> usable, long now) {
    Map<String, double[]> sumsByRegion = new HashMap<>();
    for (Target target : usable) {
      double[] loadAndSlots = sumsByRegion.computeIfAbsent(target.region, region -> new double[2]);
      loadAndSlots[0] += target.load(now);
      loadAndSlots[1] += target.slots();
    }
    Map<String, Double> prices = new HashMap<>();
    sumsByRegion.forEach(
        (region, loadAndSlots) -> {
          double excess =
              (Math.min(1, loadAndSlots[0] / loadAndSlots[1]) - PRICED_UTILIZATION)
                  / (1 - PRICED_UTILIZATION);
          prices.put(region, Math.max(0, excess) * FULL_PRICE);
        });
    return prices;
  }

  private static CacheState cacheState(Target target, ObjectTargets preferred, Criteria criteria) {
    if (!criteria.namesObject) {
      return CacheState.COLD;
    }
    if (target.recentObjects.contains(criteria.objectHash)) {
      return CacheState.WARM;
    }
    return preferred.state(target);
  }

  private static Choice cheaper(Choice first, Choice second) {
    return second.costMillis < first.costMillis ? second : first;
  }

  /**
   * Returns initial weights of regions in proportion to their slots.
   *
   * <p>Regions are assumed to have equal demand until queues show otherwise, and the targets of
   * this host's region may be used above the mean before requests leave it.
   */
  private static Map<String, Double> initialWeights(Set<String> regions, Criteria criteria) {
    Map<String, Double> slotsByRegion = new HashMap<>();
    double totalSlots = 0;
    for (Target target : criteria.service.targets) {
      if (regions.contains(target.region)) {
        slotsByRegion.merge(target.region, (double) target.slots(), Double::sum);
        totalSlots += target.slots();
      }
    }
    double ownSlots = slotsByRegion.getOrDefault(criteria.region, 0.0);
    boolean isOnlyRegion = ownSlots >= totalSlots;
    double ownWeight =
        isOnlyRegion
            ? 1
            : Math.min(1, OWN_REGION_UTILIZATION * ownSlots * slotsByRegion.size() / totalSlots);
    Map<String, Double> weights = new HashMap<>();
    for (Map.Entry<String, Double> entry : slotsByRegion.entrySet()) {
      boolean isOwn = entry.getKey().equals(criteria.region);
      weights.put(
          entry.getKey(),
          isOwn ? ownWeight : (1 - ownWeight) * entry.getValue() / (totalSlots - ownSlots));
    }
    return weights;
  }

  private static Choice paceRegions(Map<String, Choice> byRegion, Criteria criteria, long now) {
    Choice best = null;
    for (Choice choice : byRegion.values()) {
      best = best == null ? choice : cheaper(best, choice);
    }
    if (best == null) {
      throw new IllegalArgumentException("no choice");
    }
    if (!criteria.attempted.isEmpty()) {
      return best;
    }
    RegionWeights weights = criteria.service.regionWeights;
    if (!weights.isStarted()) {
      weights.start(initialWeights(byRegion.keySet(), criteria), now);
    }
    boolean recentLoss = criteria.service.hasRecentLoss(now);
    // Requests for one object stay in one region, so that it is not loaded once in each.
    double position =
        criteria.namesObject ? Hashing.toFraction(criteria.objectHash ^ REGION_SALT) : -1;
    String region =
        weights.select(best.target.region, byRegion.keySet(), position, recentLoss, now);
    Choice selected = region == null ? null : byRegion.get(region);
    return selected == null ? best : selected;
  }

  private boolean isUsable(Target target, Criteria criteria, long now) {
    TargetRecord record = target.record();
    if (!target.acceptsRequests() || target.isEjected(now) || table.isEvacuated(record.zone())) {
      return false;
    }
    if (!criteria.allowedRegions.isEmpty() && !criteria.allowedRegions.contains(target.region)) {
      return false;
    }
    if (wasAttempted(record, criteria.attempted) || !criteria.rule.allows(record.version())) {
      return false;
    }
    if (target.isProbing() && target.inFlight.get() > 0) {
      return false;
    }
    return !target.isCold(now) || mayWarmUp(target, criteria, now);
  }

  /**
   * Returns whether a request was sent to a target under its present entry or an earlier one.
   *
   * <p>A target that registers again gets a new entry but keeps its connections, on which late
   * responses to the first attempt may arrive.
   */
  private static boolean wasAttempted(TargetRecord record, Set<Target> attempted) {
    for (Target target : attempted) {
      if (target.record().id().equals(record.id())) {
        return true;
      }
    }
    return false;
  }

  private boolean mayWarmUp(Target target, Criteria criteria, long now) {
    return hosts.isWarmUpOwner(target.idHash, target.region)
        && target.warmUpBucket(warmUpRate(criteria), now).hasToken(now);
  }

  private boolean takeWarmUpToken(Target target, Criteria criteria, long now) {
    return target.warmUpBucket(warmUpRate(criteria), now).tryTake(now);
  }

  private static double warmUpRate(Criteria criteria) {
    double fleetRate = criteria.definition == null ? 1 : criteria.definition.warmUpPerSecond();
    return fleetRate / HostTable.warmUpOwners();
  }

  /**
   * Returns whether this host should send a target its first request.
   *
   * <p>Requests for an object stay where it is warm, so a target added later would get none of the
   * objects in use. A few hosts send it the next object for which it is first in hash order.
   */
  private boolean isDueFirstRequest(Target target, long now) {
    return !target.isUsed()
        && !target.isCold(now)
        && hosts.isWarmUpOwner(target.idHash, target.region);
  }

  /** Returns this host's share of the connections that a target accepts; at least one. */
  private int connectionsPerHost(Criteria criteria) {
    if (criteria.definition == null || criteria.definition.maxConnections() <= 0) {
      return Integer.MAX_VALUE;
    }
    return Math.max(1, criteria.definition.maxConnections() / hosts.fleetSize());
  }

  private @Nullable CostParts estimate(
      Target target, CacheState cacheState, Criteria criteria, double slotPrice, long now) {
    int slots = target.slots();
    double load = target.load(now);
    if (load >= slots * MAX_LOAD_PER_SLOT) {
      return null;
    }
    double warmMillis = criteria.times.warmMillis();
    double extraForCold = criteria.times.coldMillis() - warmMillis;
    double work = warmMillis + extraForCold * cacheState.coldFraction();
    double machineFactor = target.workTimeFactor(now);
    work *= target.slowness(now) * machineFactor;
    if (target.isCold(now)) {
      work *= COLD_TARGET_FACTOR;
    }
    double queued = Math.max(0, load + 1 - slots);
    double queuedWork = criteria.service.times().warmMillis();
    double wait = queued / slots * queuedWork * target.slowness(now) * machineFactor;
    double utilization = Math.min(1, load / slots);
    double crowding = CROWDING_WEIGHT * warmMillis * Math.pow(utilization, 4);
    double failures = FAILURE_MILLIS * target.failureRate(now);
    boolean due =
        cacheState == CacheState.LIKELY_WARM && wait == 0 && isDueFirstRequest(target, now);
    double distance =
        target.region.equals(criteria.region)
            ? 0
            : REMOTE_REGION_MILLIS + criteria.bodyBytes / 1024.0 * REMOTE_KILOBYTE_MILLIS;
    // A first request from another region pays for its slot time like any other.
    double price = due && distance == 0 ? 0 : slotPrice * work;
    return new CostParts(work, wait, crowding, failures, distance, price, due);
  }
}
