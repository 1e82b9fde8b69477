package verbenahatch.steering.feed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.StoreRevision;

/**
 * Keeps the objects of a feed and their latest changes, so that other hosts can follow the feed.
 *
 * <p>Thread-safe.
 *
 * @param <T> the type of the objects
 */
final class FeedLog<T> {

  /** Number of changes that are kept; a host that missed more of them must list again. */
  private static final int MAX_CHANGES = 64;

  private final Map<String, T> objects = new HashMap<>();
  private final ArrayDeque<Changes<T>> changes = new ArrayDeque<>();

  /** The oldest revision after which all changes are kept; null before the first list. */
  private @Nullable StoreRevision oldestResumable;

  private StoreRevision revision = StoreRevision.NONE;
  private StoreRevision newestChange = StoreRevision.NONE;

  /**
   * Applies changes that were read.
   *
   * <p>The changes before the first list of an era are discarded, since hosts that have not read in
   * this era must list again.
   *
   * @param received the changes, or a list of all objects, which is recorded as its difference from
   *     the objects held before
   * @param complete whether it is a list of all objects
   */
  synchronized void apply(Changes<T> received, boolean complete) {
    Changes<T> delta = complete ? differenceFrom(received) : received;
    objects.putAll(delta.written());
    objects.keySet().removeAll(delta.gone());
    boolean newEra = received.revision().era() > revision.era();
    revision = StoreRevision.max(revision, received.revision());
    newestChange = StoreRevision.max(newestChange, received.newestChange());
    if (oldestResumable == null || newEra) {
      changes.clear();
      oldestResumable = revision;
      return;
    }
    if (!delta.written().isEmpty() || !delta.gone().isEmpty()) {
      changes.addLast(delta);
    }
    while (changes.size() > MAX_CHANGES) {
      oldestResumable = changes.removeFirst().revision();
    }
  }

  private Changes<T> differenceFrom(Changes<T> list) {
    Map<String, T> written = new HashMap<>();
    list.written()
        .forEach(
            (name, object) -> {
              if (!object.equals(objects.get(name))) {
                written.put(name, object);
              }
            });
    Set<String> gone = new HashSet<>(objects.keySet());
    gone.removeAll(list.written().keySet());
    return new Changes<>(written, gone, list.revision(), list.newestChange());
  }

  /** Returns all objects, null before the first list. */
  synchronized @Nullable Changes<T> all() {
    if (oldestResumable == null) {
      return null;
    }
    return new Changes<>(Map.copyOf(objects), Set.of(), revision, newestChange);
  }

  /**
   * Returns the changes after a revision.
   *
   * @param afterRevision the revision up to which a host has read the feed
   * @return the merged changes, possibly none; null before the first list, if they are no longer
   *     kept, or if the revision is of another era
   */
  synchronized @Nullable Changes<T> since(StoreRevision afterRevision) {
    StoreRevision oldest = oldestResumable;
    if (oldest == null || oldest.isAfter(afterRevision) || afterRevision.era() != revision.era()) {
      return null;
    }
    Map<String, T> written = new HashMap<>();
    Set<String> gone = new HashSet<>();
    for (Changes<T> delta : changes) {
      if (!delta.revision().isAfter(afterRevision)) {
        continue;
      }
      written.putAll(delta.written());
      gone.removeAll(delta.written().keySet());
      written.keySet().removeAll(delta.gone());
      gone.addAll(delta.gone());
    }
    return new Changes<>(written, gone, StoreRevision.max(afterRevision, revision), newestChange);
  }

  /** Returns the revision up to which the feed was read. */
  synchronized StoreRevision revision() {
    return revision;
  }

  /** Returns the revision of the newest change among the objects. */
  synchronized StoreRevision newestChange() {
    return newestChange;
  }
}
