package verbenahatch.limits;

import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;

/** Selects members for the work of a group. */
final class Members {

  private Members() {}

  /** Returns the members that have not lapsed, by incarnation. */
  static Map<String, Member> live(Fleet fleet) {
    Map<String, Member> live = new TreeMap<>();
    for (Member member : fleet.members()) {
      if (!fleet.isLapsed(member.incarnation())) {
        live.put(member.incarnation(), member);
      }
    }
    return live;
  }

  /** Tells whether an incarnation is a live member that is not leaving. */
  static boolean canBeHome(Fleet fleet, String incarnation) {
    Member member = live(fleet).get(incarnation);
    return member != null && !member.leaving();
  }

  /**
   * Names the member that should become the home of a group that has none, by rendezvous hashing.
   * Hosts may disagree for a while; the conditional write decides.
   */
  static @Nullable Member candidate(Fleet fleet, int group) {
    Member best = null;
    long bestScore = Long.MIN_VALUE;
    for (Member member : live(fleet).values()) {
      long score = score(group, member.incarnation());
      if (!member.leaving() && (best == null || score > bestScore)) {
        best = member;
        bestScore = score;
      }
    }
    return best;
  }

  /** Mixes with the finalizer of SplitMix64, so that groups spread evenly over members. */
  private static long score(int group, String incarnation) {
    long mixed = incarnation.hashCode() * 0x9E3779B97F4A7C15L + group * 0xD1B54A32D192ED03L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
