package verbenahatch.limits;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Clock;

/** Selects members for the work of the groups. Thread-safe. */
final class LiveMembers {

  /** Longest age of the selection; it also changes at once when the fleet reports a change. */
  private static final long REFRESH_NANOS = 100_000_000L;

  private record Snapshot(Map<String, Member> live, long at) {}

  private final Fleet fleet;
  private final Clock clock;
  private volatile @Nullable Snapshot snapshot;

  LiveMembers(Fleet fleet, Clock clock) {
    this.fleet = fleet;
    this.clock = clock;
    fleet.onChange(members -> snapshot = null);
  }

  /** Returns the members that have not lapsed, by incarnation. */
  Map<String, Member> live() {
    Snapshot known = snapshot;
    long now = clock.nanoTime();
    if (known != null && now - known.at() < REFRESH_NANOS) {
      return known.live();
    }
    Map<String, Member> live = new TreeMap<>();
    for (Member member : fleet.members()) {
      if (!fleet.isLapsed(member.incarnation())) {
        live.put(member.incarnation(), member);
      }
    }
    Snapshot taken = new Snapshot(Collections.unmodifiableMap(live), now);
    snapshot = taken;
    return taken.live();
  }

  /** Tells whether an incarnation is a live member that is not leaving. */
  boolean canBeHome(String incarnation) {
    Member member = live().get(incarnation);
    return member != null && !member.leaving();
  }

  /**
   * Names the member that should become the home of a group that has none, by rendezvous hashing.
   * Hosts may disagree for a while; the conditional write decides.
   */
  @Nullable Member candidate(int group) {
    Member best = null;
    long bestScore = Long.MIN_VALUE;
    for (Member member : live().values()) {
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
