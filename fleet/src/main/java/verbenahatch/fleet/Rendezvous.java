package verbenahatch.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import verbenahatch.kernel.Hashing;
import verbenahatch.routing.WeightedRendezvous;

/**
 * Assigns roles to members by rendezvous hashing: every host with the same candidates selects the
 * same member, and when a member leaves, only its own roles move.
 */
public final class Rendezvous {

  /** Members have no sizes; roles are spread evenly. */
  private static final double EQUAL_WEIGHT = 1;

  private Rendezvous() {}

  /**
   * Selects the member for a role.
   *
   * @param role the name of the role
   * @param candidates the members that may get the role
   * @return the selected member; empty if there is no candidate
   */
  public static Optional<Member> first(String role, Collection<Member> candidates) {
    return first(role, candidates, 1).stream().findFirst();
  }

  static List<Member> first(String role, Collection<Member> candidates, int count) {
    WeightedRendezvous<Member> ranking =
        new WeightedRendezvous<>(Math.min(count, candidates.size()));
    for (Member candidate : candidates) {
      ranking.add(candidate, hash(role, candidate.incarnation()), EQUAL_WEIGHT);
    }
    return ranking.toList();
  }

  private static long hash(String role, String incarnation) {
    long hash = Hashing.mix(role.hashCode());
    for (int i = 0; i < incarnation.length(); i++) {
      hash = Hashing.mix(hash ^ incarnation.charAt(i));
    }
    return hash;
  }
}
