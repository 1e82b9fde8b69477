package verbenahatch.steering;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import verbenahatch.steering.model.TargetRecord;

/**
 * Keeps targets draining that a restored store shows as ready.
 *
 * <p>Answers the load of a store that comes back from a backup in which targets were ready that
 * have announced their stop since. A target stays draining until the store shows so again, until
 * another incarnation takes its entry, or for {@link RestoreHold#HOLD_MILLIS}. Must be called by
 * one thread at a time; has no I/O.
 */
final class RestoredDrains {

  /** Number of draining targets that are remembered after their entries are gone. */
  private static final int MAX_REMEMBERED = 4_096;

  private final Map<String, TargetRecord> drainingById =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TargetRecord> eldest) {
          return size() > MAX_REMEMBERED;
        }
      };

  private final Map<String, TargetRecord> unconfirmed = new HashMap<>();
  private final Map<String, TargetRecord> shownAsReady = new HashMap<>();
  private long holdEndNanos;

  /**
   * Starts to hold all targets that are known to drain or to have drained.
   *
   * @param nowNanos the current time in ns
   */
  void storeRestored(long nowNanos) {
    unconfirmed.putAll(drainingById);
    holdEndNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RestoreHold.HOLD_MILLIS);
  }

  /** Returns the entry to use for one that the store shows. */
  TargetRecord apply(TargetRecord shown) {
    shownAsReady.remove(shown.id());
    if (shown.draining()) {
      unconfirmed.remove(shown.id());
      drainingById.put(shown.id(), shown);
      return shown;
    }
    TargetRecord drained = unconfirmed.get(shown.id());
    if (drained == null || !drained.isSameIncarnation(shown)) {
      unconfirmed.remove(shown.id());
      drainingById.remove(shown.id());
      return shown;
    }
    shownAsReady.put(shown.id(), shown);
    return shown.asDraining();
  }

  /** Records that the store shows no entry for a target any more. */
  void remove(String id) {
    shownAsReady.remove(id);
  }

  /**
   * Ends the hold if its time is over.
   *
   * @param nowNanos the current time in ns
   * @return the entries that were held, as the store shows them
   */
  List<TargetRecord> expire(long nowNanos) {
    if (unconfirmed.isEmpty() || nowNanos - holdEndNanos < 0) {
      return List.of();
    }
    List<TargetRecord> released = List.copyOf(shownAsReady.values());
    unconfirmed.clear();
    shownAsReady.clear();
    return released;
  }
}
