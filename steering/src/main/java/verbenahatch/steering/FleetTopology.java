package verbenahatch.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Decides how often each host sends beats to each other one.
 *
 * <p>Immutable. In a small fleet all hosts hear all others at one pace. In a large one a host sends
 * at that pace to the hosts of its region and to a few hubs, which write for the fleet, and to the
 * others in turn.
 */
final class FleetTopology {

  /** Time between beats in a small fleet, in milliseconds. */
  static final long MIN_BEAT_MILLIS = 400;

  /** Datagrams per second that a host sends to near hosts at most; bounds bytes between zones. */
  private static final int NEAR_PER_SECOND = 48;

  /**
   * Datagrams per second to far hosts at most; bounds bytes between regions, which cost most. Far
   * beats only tell that a host lives: homes of quotas have their own reports.
   */
  private static final int FAR_PER_SECOND = 6;

  /** Hosts that hear all others at the near pace: the one that writes and its follower. */
  private static final int HUBS = 2;

  private final int count;
  private final Map<String, Integer> hostsByRegion = new HashMap<>();
  private final Set<String> hubs = new TreeSet<>();

  /**
   * Describes a fleet.
   *
   * @param regions the region of each known host by its name
   * @param silent the hosts that were heard before and are silent now; they are no hubs
   */
  FleetTopology(Map<String, String> regions, Set<String> silent) {
    count = regions.size();
    for (Map.Entry<String, String> host : new TreeMap<>(regions).entrySet()) {
      hostsByRegion.merge(host.getValue(), 1, Integer::sum);
      if (hubs.size() < HUBS && !silent.contains(host.getKey())) {
        hubs.add(host.getKey());
      }
    }
  }

  int count() {
    return count;
  }

  /** Tells whether all hosts hear all others at one pace. */
  boolean isSmall() {
    return count * 1_000L <= MIN_BEAT_MILLIS * NEAR_PER_SECOND;
  }

  /** Tells whether a host hears all others at the near pace and writes for the fleet. */
  boolean isHub(String host) {
    return hubs.contains(host);
  }

  private int hosts(String region) {
    return hostsByRegion.getOrDefault(region, 0);
  }

  /** Tells whether hosts of a region send to a host at the near pace. */
  boolean isNear(String fromRegion, String to, String toRegion) {
    return isSmall() || fromRegion.equals(toRegion) || hubs.contains(to);
  }

  /** Returns the time between beats of a host of a region to a near host, in milliseconds. */
  long nearMillis(String region) {
    if (isSmall()) {
      return MIN_BEAT_MILLIS;
    }
    int near = hosts(region) + HUBS;
    return Math.max(MIN_BEAT_MILLIS, near * 1_000L / NEAR_PER_SECOND);
  }

  /** Returns the time between beats of a host of a region to a far host, in milliseconds. */
  long farMillis(String region) {
    if (isSmall()) {
      return nearMillis(region);
    }
    int far = count - hosts(region);
    return Math.max(nearMillis(region), far * 1_000L / FAR_PER_SECOND);
  }

  /** Returns how many far hosts one beat of a host of a region goes to. */
  int farPerBeat(String region) {
    long far = count - hosts(region);
    return (int) ((far * nearMillis(region) + farMillis(region) - 1) / farMillis(region));
  }
}
