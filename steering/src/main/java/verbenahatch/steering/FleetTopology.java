package verbenahatch.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines how often each host sends heartbeats to each other host.
 *
 * <p>Immutable. In a small fleet all hosts send to all others with one period. In a large one a
 * host sends with the near period to the hosts of its region and to a few hubs, which write to the
 * store for the fleet. It sends to the remaining (far) hosts in turn.
 */
final class FleetTopology {

  /** Time between heartbeats in a small fleet and shortest time in a large one. */
  static final long MIN_HEARTBEAT_MILLIS = 400;

  /** Bounds the traffic between zones. */
  private static final int MAX_NEAR_DATAGRAMS_PER_SECOND = 48;

  /**
   * Bounds the traffic between regions, which costs most. A low rate is enough because heartbeats
   * of far hosts only show that a host is alive: quota coordinators exchange reports of their own.
   */
  private static final int MAX_FAR_DATAGRAMS_PER_SECOND = 6;

  /** Hosts that receive all others' heartbeats with the near period: the leader and a standby. */
  private static final int HUB_COUNT = 2;

  private final int hostCount;
  private final Map<String, Integer> hostCountByRegion = new HashMap<>();
  private final Set<String> hubs = new TreeSet<>();

  /**
   * Creates the topology of a fleet.
   *
   * @param regions the region of each known host by its name
   * @param timedOut the hosts whose heartbeats arrived before but have timed out; never hubs
   */
  FleetTopology(Map<String, String> regions, Set<String> timedOut) {
    hostCount = regions.size();
    for (Map.Entry<String, String> host : new TreeMap<>(regions).entrySet()) {
      hostCountByRegion.merge(host.getValue(), 1, Integer::sum);
      if (hubs.size() < HUB_COUNT && !timedOut.contains(host.getKey())) {
        hubs.add(host.getKey());
      }
    }
  }

  int hostCount() {
    return hostCount;
  }

  /** Returns whether all hosts send heartbeats to all others with one period. */
  boolean isSmall() {
    return hostCount * 1_000L <= MIN_HEARTBEAT_MILLIS * MAX_NEAR_DATAGRAMS_PER_SECOND;
  }

  /**
   * Returns whether a host is a hub: all send to it with the near period, and it writes for the
   * fleet.
   */
  boolean isHub(String host) {
    return hubs.contains(host);
  }

  private int hostsInRegion(String region) {
    return hostCountByRegion.getOrDefault(region, 0);
  }

  /** Returns whether hosts of a region send heartbeats to a receiver with the near period. */
  boolean isNear(String senderRegion, String receiver, String receiverRegion) {
    return isSmall() || senderRegion.equals(receiverRegion) || hubs.contains(receiver);
  }

  /** Returns the time between heartbeats of a host of a region to a near host, in milliseconds. */
  long nearPeriodMillis(String region) {
    if (isSmall()) {
      return MIN_HEARTBEAT_MILLIS;
    }
    int near = hostsInRegion(region) + HUB_COUNT;
    return Math.max(MIN_HEARTBEAT_MILLIS, near * 1_000L / MAX_NEAR_DATAGRAMS_PER_SECOND);
  }

  /** Returns the time between heartbeats of a host of a region to a far host, in milliseconds. */
  long farPeriodMillis(String region) {
    if (isSmall()) {
      return nearPeriodMillis(region);
    }
    int far = hostCount - hostsInRegion(region);
    return Math.max(nearPeriodMillis(region), far * 1_000L / MAX_FAR_DATAGRAMS_PER_SECOND);
  }

  /** Returns the number of far hosts that a host of a region sends each heartbeat to. */
  int farHostsPerHeartbeat(String region) {
    long far = hostCount - hostsInRegion(region);
    return (int)
        ((far * nearPeriodMillis(region) + farPeriodMillis(region) - 1) / farPeriodMillis(region));
  }
}
