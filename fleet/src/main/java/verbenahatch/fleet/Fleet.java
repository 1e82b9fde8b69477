package verbenahatch.fleet;

import java.util.List;
import java.util.function.Consumer;

/** Answers what this host knows about the fleet. All methods are cheap and thread-safe. */
public interface Fleet {

  /**
   * Returns the member that is this process.
   *
   * @return the member with the current incarnation
   */
  Member self();

  /**
   * Returns the members of the newest known epoch.
   *
   * @return an immutable list
   */
  List<Member> members();

  /**
   * Returns the newest known members epoch.
   *
   * @return the epoch, 0 before the first is known
   */
  long membersEpoch();

  /**
   * Tells whether a majority of the members was in contact within the freshness bound, so that this
   * host may use keys and shared limits. A host that was fenced is never fresh.
   *
   * @return true if fresh
   */
  boolean isFresh();

  /**
   * Returns how long this host stays fresh without further contact.
   *
   * @return nanoseconds, zero or negative if not fresh
   */
  long remainingFreshnessNanos();

  /**
   * Tells whether a member answered this host, directly or through others, within the freshness
   * bound.
   *
   * @param incarnation the incarnation of the member
   * @return true if it was in contact
   */
  boolean isInContact(String incarnation);

  /**
   * Tells whether an incarnation was fenced so long ago that it certainly uses no shared limit any
   * more.
   *
   * @param incarnation the incarnation
   * @return true once the lapse wait after its fencing is over
   */
  boolean isExpired(String incarnation);

  /**
   * Calls a listener after each change of the members, of their contact or of lapsed incarnations.
   *
   * @param listener called with the new members; must not block
   */
  void onChange(Consumer<List<Member>> listener);

  /**
   * Marks this host as leaving, as the first step of a graceful stop. It goes on serving; it leaves
   * the members when the fleet module closes.
   */
  default void markLeaving() {}
}
