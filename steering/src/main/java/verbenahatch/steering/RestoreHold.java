package verbenahatch.steering;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import verbenahatch.steering.model.Feed.Changes;

/**
 * Keeps entries in force that a restored store does not show, until it shows them or for a bounded
 * time.
 *
 * <p>Answers the load of a store that comes back from a backup some seconds old: what the operator
 * wrote since is missing until it is written again. In a store without eras, the entries in force
 * are those that the store shows. Thread-safe; has no I/O.
 *
 * @param <T> the type of the entries
 */
final class RestoreHold<T> {

  /**
   * Time for which entries are held. Operators and targets write again within seconds of a restore,
   * and a draining target ends within its drain time, 3 s in the known deployments.
   */
  static final long HOLD_MILLIS = 30_000;

  private final BiPredicate<T, T> replaces;
  private final Consumer<Map<String, T>> sink;
  private final Map<String, T> shown = new HashMap<>();
  private final Map<String, T> held = new HashMap<>();
  private boolean listed;
  private long era;
  private long holdEndNanos;

  /**
   * Creates a hold without entries.
   *
   * @param replaces returns whether an entry that the restored store shows, its first argument,
   *     takes the place of the held one of the same name
   * @param sink receives all entries in force after each change; called by one thread at a time
   */
  RestoreHold(BiPredicate<T, T> replaces, Consumer<Map<String, T>> sink) {
    this.replaces = replaces;
    this.sink = sink;
  }

  /**
   * Applies changes that were read from the store.
   *
   * @param changes the changes, or all entries
   * @param complete whether they are all entries
   * @param nowNanos the current time in ns
   */
  synchronized void apply(Changes<T> changes, boolean complete, long nowNanos) {
    if (complete) {
      if (listed && changes.revision().era() > era) {
        held.putAll(inForce());
        holdEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(HOLD_MILLIS);
      }
      listed = true;
      era = changes.revision().era();
      shown.clear();
    }
    for (String name : changes.gone()) {
      // Removing an older entry of the backup does not concern the held one.
      boolean showedOlderEntry = shown.remove(name) != null && held.containsKey(name);
      if (!showedOlderEntry) {
        held.remove(name);
      }
    }
    changes
        .written()
        .forEach(
            (name, entry) -> {
              shown.put(name, entry);
              T heldEntry = held.get(name);
              if (heldEntry != null && replaces.test(entry, heldEntry)) {
                held.remove(name);
              }
            });
    sink.accept(inForce());
  }

  /** Ends the hold of one entry, which the store is known to lack. */
  synchronized void drop(String name) {
    if (held.remove(name) != null) {
      sink.accept(inForce());
    }
  }

  /** Ends the hold if its time is over. */
  synchronized void expire(long nowNanos) {
    if (!held.isEmpty() && nowNanos - holdEndNanos >= 0) {
      held.clear();
      sink.accept(inForce());
    }
  }

  private Map<String, T> inForce() {
    Map<String, T> entries = new HashMap<>(shown);
    entries.putAll(held);
    return entries;
  }
}
