package verbenahatch.steering;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.routing.LoadBound;
import verbenahatch.routing.TargetRanking;

/**
 * Determines the targets that hosts prefer for one object in each region.
 *
 * <p>Answers a fleet in which many hosts send requests for the same object: they agree on its first
 * target, and on the second one for what the first has no room for, so that the object becomes warm
 * at few targets. Not thread-safe; an instance serves one choice.
 */
final class ObjectTargets {

  /** Targets of a region to which requests for an object go in a large fleet. */
  private static final int LARGE_FLEET_TARGETS = 2;

  private final Map<Target, CacheState> states = new IdentityHashMap<>();
  private final Set<Target> overloaded;

  /**
   * Ranks targets.
   *
   * @param objectHash the hash of the object
   * @param usable the usable targets of all regions
   * @param isSmallFleet whether each host sees enough requests to know where objects are warm
   * @param nowNanos the current time of the monotonic clock in ns
   */
  ObjectTargets(long objectHash, List<Target> usable, boolean isSmallFleet, long nowNanos) {
    TargetRanking<Target> ranking = new TargetRanking<>(new TargetView(nowNanos));
    overloaded = Collections.newSetFromMap(new IdentityHashMap<>());
    Map<String, List<Target>> byRegion = new HashMap<>();
    for (Target target : usable) {
      byRegion.computeIfAbsent(target.region, region -> new ArrayList<>()).add(target);
    }
    int count = isSmallFleet ? 1 : LARGE_FLEET_TARGETS;
    for (List<Target> targets : byRegion.values()) {
      List<Target> ranked = ranking.first(objectHash, targets, count);
      for (int i = 0; i < ranked.size(); i++) {
        states.put(ranked.get(i), i == 0 ? CacheState.LIKELY_WARM : CacheState.POSSIBLY_WARM);
      }
      if (ranked.size() > 1) {
        markOverloaded(ranked, targets, nowNanos);
      }
    }
  }

  private void markOverloaded(List<Target> ranked, List<Target> targets, long nowNanos) {
    double load = 0;
    long slots = 0;
    for (Target target : targets) {
      load += target.load(nowNanos);
      slots += target.slots();
    }
    LoadBound bound = new LoadBound(load, slots);
    boolean othersHaveRoom = false;
    for (int i = ranked.size() - 1; i >= 0; i--) {
      Target target = ranked.get(i);
      double targetLoad = target.load(nowNanos);
      // A target with a free slot is not overloaded, however little the others have to do.
      boolean hasRoom = targetLoad < target.slots() || bound.hasRoom(targetLoad, target.slots());
      if (!hasRoom && othersHaveRoom) {
        overloaded.add(target);
      }
      othersHaveRoom |= hasRoom;
    }
  }

  /** Returns what the ranking tells of the object at a target. */
  CacheState state(Target target) {
    return states.getOrDefault(target, CacheState.COLD);
  }

  /** Returns whether a target has too many requests while another preferred one has room. */
  boolean isOverloaded(Target target) {
    return overloaded.contains(target);
  }

  private record TargetView(long nowNanos) implements TargetRanking.View<Target> {

    @Override
    public long keyHash(Target target) {
      return target.keyHash;
    }

    @Override
    public int size(Target target) {
      return target.slots();
    }

    @Override
    public double load(Target target) {
      return target.load(nowNanos);
    }
  }
}
