package verbenahatch.steering.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.quota.QuotaFleet.Member;

/**
 * Determines the coordinator of each workspace's quota: the host of this region that admits its
 * requests.
 *
 * <p>Workspaces are put into groups, so that a report from the coordinator of a group in one region
 * to that in another needs one datagram for all workspaces of the group. All hosts of a region
 * choose the same coordinator by rendezvous hashing as long as the same hosts are alive in their
 * views. Thread-safe; each election replaces all coordinators at once.
 */
final class QuotaCoordinators {

  /**
   * Number of groups of workspaces. More groups cost more datagrams between regions; with fewer,
   * the loss of one coordinator affects more workspaces.
   */
  static final int GROUPS = 16;

  /** Makes the group of a workspace independent of other uses of its hash. */
  private static final long GROUP_SALT = 0x3c6ef372L;

  private volatile @Nullable Member[] coordinators = new Member[GROUPS];

  /** Returns the group of a workspace, from 0 to {@link #GROUPS} - 1. */
  static int group(String workspace) {
    return (int) Math.floorMod(Hashing.mix(Hashing.of(workspace) ^ GROUP_SALT), (long) GROUPS);
  }

  /**
   * Elects the coordinators of all groups anew.
   *
   * @param members the hosts of the region that may be coordinators
   */
  void elect(List<Member> members) {
    // A process that has just started doesn't know what was admitted within the window.
    List<Member> settled = members.stream().filter(Member::settled).toList();
    List<Member> candidates = settled.isEmpty() ? members : settled;
    @Nullable Member[] elected = new Member[GROUPS];
    for (int group = 0; group < GROUPS; group++) {
      long lowest = 0;
      for (Member member : candidates) {
        long hash = rank(member.host(), group);
        if (elected[group] == null || hash < lowest) {
          elected[group] = member;
          lowest = hash;
        }
      }
    }
    coordinators = elected;
  }

  private static long rank(String host, int group) {
    return Hashing.mix(Hashing.of(host) ^ Hashing.mix(group + GROUP_SALT));
  }

  /** Returns the coordinator of a group, null if no host may be one. */
  @Nullable Member coordinatorOfGroup(int group) {
    return coordinators[group];
  }

  /** Returns the coordinator of a workspace's quota, null if no host may be one. */
  @Nullable Member coordinator(String workspace) {
    return coordinators[group(workspace)];
  }

  /**
   * Returns the address of a host in another region that is or may become the coordinator of a
   * group there. It may be out of date, because heartbeats from other regions arrive seldom.
   *
   * @param group the group, from 0 to {@link #GROUPS} - 1
   * @param place 0 for the probable coordinator, 1 for the one that would replace it, and so on
   * @param addresses the addresses of the hosts of that region by name
   * @return an address, null if {@code addresses} is empty
   */
  static @Nullable String probableAddress(int group, int place, Map<String, String> addresses) {
    if (addresses.isEmpty()) {
      return null;
    }
    List<String> hosts = new ArrayList<>(addresses.keySet());
    hosts.sort(Comparator.comparingLong(host -> rank(host, group)));
    return addresses.get(hosts.get(place % hosts.size()));
  }
}
