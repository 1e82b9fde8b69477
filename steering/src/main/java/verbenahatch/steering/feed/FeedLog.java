package verbenahatch.steering.feed;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.Feed.Changes;

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

  /** The oldest revision after which all changes are kept; negative before the first list. */
  private long oldestResumableRevision = -1;

  private long revision;
  private long newestChange;

  /**
   * Applies changes that were read.
   *
   * @param received the changes, or a list of all objects, which is recorded as its difference from
   *     the objects held before
   * @param complete whether it is a list of all objects
   */
  synchronized void apply(Changes<T> received, boolean complete) {
    Changes<T> delta = complete ? differenceFrom(received) : received;
    objects.putAll(delta.written());
    objects.keySet().removeAll(delta.gone());
    revision = Math.max(revision, received.revision());
    newestChange = Math.max(newestChange, received.newestChange());
    if (oldestResumableRevision < 0) {
      oldestResumableRevision = revision;
      return;
    }
    if (!delta.written().isEmpty() || !delta.gone().isEmpty()) {
      changes.addLast(delta);
    }
    while (changes.size() > MAX_CHANGES) {
      oldestResumableRevision = changes.removeFirst().revision();
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
    if (oldestResumableRevision < 0) {
      return null;
    }
    return new Changes<>(Map.copyOf(objects), Set.of(), revision, newestChange);
  }

  /**
   * Returns the changes after a revision.
   *
   * @param afterRevision the revision up to which a host has read the feed
   * @return the merged changes, possibly none; null before the first list, or if they are no longer
   *     kept
   */
  synchronized @Nullable Changes<T> since(long afterRevision) {
    if (oldestResumableRevision < 0 || afterRevision < oldestResumableRevision) {
      return null;
    }
    Map<String, T> written = new HashMap<>();
    Set<String> gone = new HashSet<>();
    for (Changes<T> delta : changes) {
      if (delta.revision() <= afterRevision) {
        continue;
      }
      written.putAll(delta.written());
      gone.removeAll(delta.written().keySet());
      written.keySet().removeAll(delta.gone());
      gone.addAll(delta.gone());
    }
    return new Changes<>(written, gone, Math.max(afterRevision, revision), newestChange);
  }

  /** Returns the revision up to which the feed was read. */
  synchronized long revision() {
    return revision;
  }

  /** Returns the revision of the newest change among the objects. */
  synchronized long newestChange() {
    return newestChange;
  }
}
