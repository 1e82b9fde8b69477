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
  private final Map<String, Long> replacedAtNanos = new HashMap<>();

  /**
   * Records a contact, direct or through an aggregator; an older one only raises the epochs.
   *
   * @param incarnation the member
   * @param seen what the contact told
   */
  void record(String incarnation, Contact contact) {
    Contact old = contacts.get(incarnation);
    if (old == null) {
      contacts.put(incarnation, contact);
      return;
    }
    Contact newest = contact.startNanos() - old.startNanos() > 0 ? contact : old;
    contacts.put(
        incarnation,
        new Contact(
            newest.startNanos(),
            Math.max(old.epoch(), contact.epoch()),
            Math.max(old.settledEpoch(), contact.settledEpoch()),
            newest.storeDown()));
  }

  /** Records that another incarnation answered at the address of this one. */
  void markReplaced(String incarnation, long startNanos) {
    replacedAtNanos.merge(incarnation, startNanos, (a, b) -> b - a > 0 ? b : a);
  }

  boolean isReplaced(String incarnation) {
    Long replacedNanos = replacedAtNanos.get(incarnation);
    if (replacedNanos == null) {
      return false;
    }
    Contact last = contacts.get(incarnation);
    return last == null || replacedNanos - last.startNanos() > 0;
  }

  @Nullable Contact last(String incarnation) {
    return contacts.get(incarnation);
  }

  OptionalLong contactAgeNanos(String incarnation, long nowNanos) {
    Contact last = contacts.get(incarnation);
    return last == null ? OptionalLong.empty() : OptionalLong.of(nowNanos - last.startNanos());
  }

  boolean isInContact(String incarnation, long nowNanos) {
    Contact last = contacts.get(incarnation);
    return last != null
        && nowNanos - last.startNanos() <= Timing.FRESHNESS_BOUND.toNanos()
        && !isReplaced(incarnation);
  }

  /** Forgets incarnations that are no longer of interest. */
  void retain(Set<String> incarnations) {
    contacts.keySet().retainAll(incarnations);
    replacedAtNanos.keySet().retainAll(incarnations);
  }
}
