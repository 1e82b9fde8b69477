package verbenahatch.steering;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.routing.TargetRanking;

/**
 * Determines the target that hosts prefer for one object in each region.
 *
 * <p>Answers targets that come, go and register again: hosts with equal lists agree, and a change
 * of one target moves only its own objects. Not thread-safe; an instance serves one choice.
 */
final class ObjectTargets {

  private final Set<Target> preferred = Collections.newSetFromMap(new IdentityHashMap<>());

  /**
   * Ranks targets.
   *
   * @param objectHash the hash of the object
   * @param usable the usable targets of all regions
   * @param nowNanos the current time of the monotonic clock in ns
   */
  ObjectTargets(long objectHash, List<Target> usable, long nowNanos) {
    TargetRanking<Target> ranking = new TargetRanking<>(new TargetView(nowNanos));
    Map<String, List<Target>> byRegion = new HashMap<>();
    for (Target target : usable) {
      byRegion.computeIfAbsent(target.region, region -> new ArrayList<>()).add(target);
    }
    for (List<Target> targets : byRegion.values()) {
      preferred.addAll(ranking.first(objectHash, targets, 1));
    }
  }

  /** Returns what the ranking tells of the object at a target. */
  CacheState state(Target target) {
    return preferred.contains(target) ? CacheState.LIKELY_WARM : CacheState.COLD;
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
