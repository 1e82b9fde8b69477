package verbenahatch.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Keeps when each member was last in contact, on the monotonic clock of this host.
 *
 * <p>The time of a contact is the time before the poll was sent, so that a delayed answer never
 * looks fresh. Not thread-safe.
 */
final class ContactTable {

  /** What one contact told about a member. */
  record Contact(long startNanos, long epoch, long settledEpoch, boolean storeDown) {}

  private final Map<String, Contact> contacts = new HashMap<>();
  private final Map<String, Long> replacedAt = new HashMap<>();

  /**
   * Records a contact, direct or through an aggregator; an older one only raises the epochs.
   *
   * @param incarnation the member
   * @param seen what the contact told
   */
  void record(String incarnation, Contact seen) {
    Contact old = contacts.get(incarnation);
    if (old == null) {
      contacts.put(incarnation, seen);
      return;
    }
    Contact newest = seen.startNanos() - old.startNanos() > 0 ? seen : old;
    contacts.put(
        incarnation,
        new Contact(
            newest.startNanos(),
            Math.max(old.epoch(), seen.epoch()),
            Math.max(old.settledEpoch(), seen.settledEpoch()),
            newest.storeDown()));
  }

  /** Records that another incarnation answered at the address of this one. */
  void markReplaced(String incarnation, long startNanos) {
    replacedAt.merge(incarnation, startNanos, (a, b) -> b - a > 0 ? b : a);
  }

  boolean isReplaced(String incarnation) {
    Long at = replacedAt.get(incarnation);
    if (at == null) {
      return false;
    }
    Contact last = contacts.get(incarnation);
    return last == null || at - last.startNanos() > 0;
  }

  @Nullable Contact last(String incarnation) {
    return contacts.get(incarnation);
  }

  OptionalLong ageNanos(String incarnation, long now) {
    Contact last = contacts.get(incarnation);
    return last == null ? OptionalLong.empty() : OptionalLong.of(now - last.startNanos());
  }

  boolean isInContact(String incarnation, long now) {
    Contact last = contacts.get(incarnation);
    return last != null
        && now - last.startNanos() <= Timing.FRESHNESS_BOUND.toNanos()
        && !isReplaced(incarnation);
  }

  /** Forgets incarnations that are no longer of interest. */
  void retain(Set<String> incarnations) {
    contacts.keySet().retainAll(incarnations);
    replacedAt.keySet().retainAll(incarnations);
  }
}
