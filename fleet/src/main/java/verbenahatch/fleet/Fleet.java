package verbenahatch.fleet;

import java.util.List;
import java.util.function.Consumer;

/** Provides this host's view of the fleet. All methods are cheap and thread-safe. */
public interface Fleet {

  /**
   * Returns the entry of this process in the list of members.
   *
   * @return the member with the current incarnation
   */
  Member self();

  /**
   * Returns the members of the newest epoch known to this host.
   *
   * @return an immutable list
   */
  List<Member> members();

  /**
   * Returns the newest members epoch known to this host.
   *
   * @return the epoch, 0 before the first is known
   */
  long membersEpoch();

  /**
   * Returns whether a majority of the members was in contact within the freshness bound, so that
   * this host may use keys and shared limits. A host that was fenced is never fresh.
   *
   * @return true if fresh
   */
  boolean isFresh();

  /**
   * Returns the remaining freshness: the time for which this host stays fresh without further
   * contact.
   *
   * @return the remaining freshness in ns, zero or negative if not fresh
   */
  long remainingFreshnessNanos();

  /**
   * Returns whether a member responded to this host, directly or through others, within the
   * freshness bound.
   *
   * @param incarnation the incarnation of the member
   * @return true if it was in contact
   */
  boolean isInContact(String incarnation);

  /**
   * Returns whether the freshness of a removed incarnation has certainly expired, so that it no
   * longer uses any shared limit.
   *
   * @param incarnation the incarnation
   * @return true once {@link Timing#FRESHNESS_EXPIRY} has passed since this host adopted its
   *     removal
   */
  boolean isExpired(String incarnation);

  /**
   * Adds a listener that is called after each change of the members, of the members in contact or
   * of the expired incarnations.
   *
   * @param listener called with the new members; must not block
   */
  void onChange(Consumer<List<Member>> listener);

  /**
   * Marks this host as leaving, as the first step of a graceful stop. It continues to serve
   * requests and leaves the members when the fleet module closes.
   */
  default void markLeaving() {}
}
