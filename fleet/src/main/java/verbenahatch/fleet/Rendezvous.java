package verbenahatch.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import verbenahatch.kernel.Hashing;

/**
 * Assigns roles to members by rendezvous hashing: every host with the same candidates selects the
 * same member, and when a member leaves, only its own roles move.
 */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Selects the member for a role.
   *
   * @param role the name of the role
   * @param candidates the members that may get the role
   * @return the selected member; empty if there is no candidate
   */
  public static Optional<Member> first(String role, Collection<Member> candidates) {
    return candidates.stream().min(order(role));
  }

  static List<Member> first(String role, Collection<Member> candidates, int count) {
    return candidates.stream().sorted(order(role)).limit(count).toList();
  }

  private static Comparator<Member> order(String role) {
    return Comparator.<Member>comparingLong(m -> weight(role, m.incarnation()))
        .thenComparing(Member::incarnation);
  }

  private static long weight(String role, String incarnation) {
    long hash = Hashing.mix(role.hashCode());
    for (int i = 0; i < incarnation.length(); i++) {
      hash = Hashing.mix(hash ^ incarnation.charAt(i));
    }
    return hash;
  }
}
