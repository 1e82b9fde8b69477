package verbenahatch.limits;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Clock;

/** Selects the live members of the fleet and the candidates for coordinator. Thread-safe. */
final class LiveMembers {

  /**
   * Longest age of the cached selection, which is also discarded when the fleet reports a change.
   */
  private static final long REFRESH_NANOS = 100_000_000L;

  private record Snapshot(Map<String, Member> live, long takenAtNanos) {}

  private final Fleet fleet;
  private final Clock clock;
  private volatile @Nullable Snapshot snapshot;

  LiveMembers(Fleet fleet, Clock clock) {
    this.fleet = fleet;
    this.clock = clock;
    fleet.onChange(members -> snapshot = null);
  }

  /** Returns the members whose lease has not expired, by incarnation; unmodifiable. */
  Map<String, Member> live() {
    Snapshot current = snapshot;
    long now = clock.nanoTime();
    if (current != null && now - current.takenAtNanos() < REFRESH_NANOS) {
      return current.live();
    }
    Map<String, Member> live = new TreeMap<>();
    for (Member member : fleet.members()) {
      if (!fleet.isExpired(member.incarnation())) {
        live.put(member.incarnation(), member);
      }
    }
    Snapshot refreshed = new Snapshot(Collections.unmodifiableMap(live), now);
    snapshot = refreshed;
    return refreshed.live();
  }

  /** Returns whether an incarnation is a live member that is not leaving. */
  boolean canCoordinate(String incarnation) {
    Member member = live().get(incarnation);
    return member != null && !member.leaving();
  }

  /**
   * Returns the member that should become the coordinator of a group without one, chosen by
   * rendezvous hashing; null if there is no live member that stays. Hosts may disagree for a while;
   * the conditional write to the store then decides.
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

  /** Hashes with the finalizer of SplitMix64, so that groups spread evenly over members. */
  private static long score(int group, String incarnation) {
    long mixed = incarnation.hashCode() * 0x9E3779B97F4A7C15L + group * 0xD1B54A32D192ED03L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
