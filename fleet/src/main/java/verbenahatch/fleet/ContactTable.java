package verbenahatch.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Records the time of the last contact with each member, on the monotonic clock of this host.
 *
 * <p>The time of a contact is the time before the poll was sent, so that a delayed response never
 * counts as fresh. Not thread-safe.
 */
final class ContactTable {

  /**
   * The state of a member as of one contact.
   *
   * @param startNanos the time before the poll was sent, on the monotonic clock of this host in ns
   * @param epoch the members epoch of the member, 0 if not known
   * @param settledEpoch the newest epoch that the member had settled, 0 if not known
   * @param storeDown whether the store was unavailable to the member
   */
  record Contact(long startNanos, long epoch, long settledEpoch, boolean storeDown) {}

  private final Map<String, Contact> contacts = new HashMap<>();
  private final Map<String, Long> replacedAtNanos = new HashMap<>();

  /**
   * Records a contact, direct or through an aggregator. A contact older than the last one only
   * raises the epochs.
   *
   * @param incarnation the incarnation of the member
   * @param contact the state of the member as of the contact
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

  /** Records that another incarnation responded at the address of this one. */
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

  /** Removes all incarnations but the given ones. */
  void retain(Set<String> incarnations) {
    contacts.keySet().retainAll(incarnations);
    replacedAtNanos.keySet().retainAll(incarnations);
  }
}
