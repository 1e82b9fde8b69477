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
 * Chooses which members a host polls.
 *
 * <p>Up to {@link Timing#AGGREGATOR_THRESHOLD} members, every host polls every other. In a larger
 * fleet a host polls the aggregators of its zone; a host that was asked to aggregate polls its zone
 * and the aggregators of the other zones. The role needs no agreement: whoever is asked does it.
 */
final class Aggregation {

  /** A member to poll. */
  record Target(Member member, boolean asAggregator, ContactScope scope) {}

  /** Time for which a host goes on aggregating after it was last asked. */
  private static final long ROLE_NANOS = 2_000_000_000L;

  private volatile long askedAt;
  private volatile boolean everAsked;
  private volatile boolean newlyAsked;

  void noteAsked(long now) {
    newlyAsked |= !isAggregator(now);
    askedAt = now;
    everAsked = true;
  }

  /** Tells once after each start of the role that this host should poll at once. */
  boolean takeNewlyAsked() {
    boolean result = newlyAsked;
    newlyAsked = false;
    return result;
  }

  boolean isAggregator(long now) {
    return everAsked && now - askedAt < ROLE_NANOS;
  }

  /**
   * Returns the members to poll now.
   *
   * @param record the members
   * @param self this host
   * @param now the reading of the clock
   * @param usable tells whether polls of a member do not fail at present
   */
  List<Target> targets(MembersRecord record, Member self, long now, Predicate<Member> usable) {
    List<Target> targets = new ArrayList<>();
    if (record.members().size() <= Timing.AGGREGATOR_THRESHOLD) {
      for (Member member : record.members()) {
        if (isOther(member, self)) {
          targets.add(new Target(member, false, ContactScope.CONTACT_SCOPE_ALL));
        }
      }
      return targets;
    }
    return large(record, self, now, usable);
  }

  private List<Target> large(
      MembersRecord record, Member self, long now, Predicate<Member> usable) {
    Map<String, List<Member>> zones = new LinkedHashMap<>();
    for (Member member : record.members()) {
      if (isOther(member, self)) {
        zones.computeIfAbsent(member.zone(), z -> new ArrayList<>()).add(member);
      }
    }
    List<Target> targets = new ArrayList<>();
    Set<String> taken = new HashSet<>();
    boolean aggregator = isAggregator(now);
    zones.forEach(
        (zone, members) -> {
          boolean own = zone.equals(self.zone());
          if (!own && !aggregator && zones.containsKey(self.zone())) {
            return;
          }
          ContactScope scope =
              own || !aggregator ? ContactScope.CONTACT_SCOPE_ALL : ContactScope.CONTACT_SCOPE_ZONE;
          for (Member chosen : aggregators(zone, members, usable)) {
            taken.add(chosen.incarnation());
            targets.add(new Target(chosen, true, scope));
          }
        });
    if (aggregator) {
      for (Member member : zones.getOrDefault(self.zone(), List.of())) {
        if (!taken.contains(member.incarnation())) {
          targets.add(new Target(member, false, ContactScope.CONTACT_SCOPE_NONE));
        }
      }
    }
    return targets;
  }

  private static List<Member> aggregators(
      String zone, List<Member> members, Predicate<Member> usable) {
    List<Member> working = members.stream().filter(usable).toList();
    return Rendezvous.first(
        "aggregator/" + zone, working.isEmpty() ? members : working, Timing.AGGREGATORS_PER_ZONE);
  }

  private static boolean isOther(Member member, Member self) {
    return !member.incarnation().equals(self.incarnation()) && !member.peer().equals(self.peer());
  }
}
