package verbenahatch.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import verbenahatch.peer.generated.ContactScope;

/**
 * Selects the members that this host polls.
 *
 * <p>Up to {@link Timing#AGGREGATOR_THRESHOLD} members, every host polls every other host. In a
 * larger fleet a host polls only the aggregators of its zone. An aggregator polls the members of
 * its zone and the aggregators of the other zones. The role needs no agreement between hosts: a
 * host is an aggregator while other hosts poll it as one.
 */
final class Aggregation {

  /**
   * A member to poll.
   *
   * @param member the member
   * @param asAggregator whether the poll asks the member to act as an aggregator
   * @param scope the members whose contact ages the response has to report
   */
  record PollTarget(Member member, boolean asAggregator, ContactScope scope) {}

  /** Time for which a host stays an aggregator after the last poll that asked for the role. */
  private static final long ROLE_DURATION_NANOS = 2_000_000_000L;

  private volatile long roleRequestedAtNanos;
  private volatile boolean everRequested;
  private volatile boolean roleStarted;

  void recordRoleRequest(long nowNanos) {
    roleStarted |= !isAggregator(nowNanos);
    roleRequestedAtNanos = nowNanos;
    everRequested = true;
  }

  /** Returns true once after each start of the role, when this host should poll at once. */
  boolean takeRoleStarted() {
    boolean result = roleStarted;
    roleStarted = false;
    return result;
  }

  boolean isAggregator(long nowNanos) {
    return everRequested && nowNanos - roleRequestedAtNanos < ROLE_DURATION_NANOS;
  }

  /**
   * Returns the members to poll now, without this host.
   *
   * @param record the members of the newest known epoch
   * @param self this host
   * @param nowNanos the reading of the monotonic clock in ns
   * @param isUsable whether a member responds to polls; others are not selected as aggregators
   *     while their zone has a usable member
   */
  List<PollTarget> pollTargets(
      MembersRecord record, Member self, long nowNanos, Predicate<Member> isUsable) {
    List<PollTarget> pollTargets = new ArrayList<>();
    if (record.members().size() <= Timing.AGGREGATOR_THRESHOLD) {
      for (Member member : record.members()) {
        if (isOther(member, self)) {
          pollTargets.add(new PollTarget(member, false, ContactScope.CONTACT_SCOPE_ALL));
        }
      }
      return pollTargets;
    }
    return largeFleetPollTargets(record, self, nowNanos, isUsable);
  }

  private List<PollTarget> largeFleetPollTargets(
      MembersRecord record, Member self, long nowNanos, Predicate<Member> isUsable) {
    Map<String, List<Member>> zones = new LinkedHashMap<>();
    for (Member member : record.members()) {
      if (isOther(member, self)) {
        zones.computeIfAbsent(member.zone(), z -> new ArrayList<>()).add(member);
      }
    }
    List<PollTarget> pollTargets = new ArrayList<>();
    Set<String> selectedIncarnations = new HashSet<>();
    boolean aggregator = isAggregator(nowNanos);
    zones.forEach(
        (zone, members) -> {
          boolean isOwnZone = zone.equals(self.zone());
          if (!isOwnZone && !aggregator && zones.containsKey(self.zone())) {
            return;
          }
          ContactScope scope =
              isOwnZone || !aggregator
                  ? ContactScope.CONTACT_SCOPE_ALL
                  : ContactScope.CONTACT_SCOPE_ZONE;
          for (Member selected : aggregators(zone, members, isUsable)) {
            selectedIncarnations.add(selected.incarnation());
            pollTargets.add(new PollTarget(selected, true, scope));
          }
        });
    if (aggregator) {
      for (Member member : zones.getOrDefault(self.zone(), List.of())) {
        if (!selectedIncarnations.contains(member.incarnation())) {
          pollTargets.add(new PollTarget(member, false, ContactScope.CONTACT_SCOPE_NONE));
        }
      }
    }
    return pollTargets;
  }

  private static List<Member> aggregators(
      String zone, List<Member> members, Predicate<Member> isUsable) {
    List<Member> usableMembers = members.stream().filter(isUsable).toList();
    return Rendezvous.first(
        "aggregator/" + zone,
        usableMembers.isEmpty() ? members : usableMembers,
        Timing.AGGREGATORS_PER_ZONE);
  }

  private static boolean isOther(Member member, Member self) {
    return !member.incarnation().equals(self.incarnation()) && !member.peer().equals(self.peer());
  }
}
