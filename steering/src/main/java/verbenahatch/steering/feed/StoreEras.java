package verbenahatch.steering.feed;

import java.util.concurrent.atomic.LongAdder;
import verbenahatch.steering.model.EraObserver;

/**
 * Tracks the era of the store, which increases when the store comes back from a backup.
 *
 * <p>Answers the load of a restore while calls are in flight: responses that were sent before and
 * after it arrive in any order, and some state no era. The known era never decreases. Thread-safe;
 * has no I/O.
 */
public final class StoreEras implements EraObserver {

  /** Receives an era above the one that was known before. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Handles a restore of the store.
     *
     * @param era the new era
     * @param previousEra the era known before
     */
    void onNewEra(long era, long previousEra);
  }

  private final Listener listener;
  private final LongAdder seen = new LongAdder();
  private boolean known;
  private volatile long current;

  /**
   * Creates a tracker that knows no era, which counts as era 0.
   *
   * @param listener called on the thread of the call that shows the new era; not called for the
   *     first era
   */
  public StoreEras(Listener listener) {
    this.listener = listener;
  }

  @Override
  public long observe(long statedEra) {
    long previous;
    boolean first;
    synchronized (this) {
      previous = current;
      if (statedEra < 0 || (known && statedEra <= previous)) {
        return statedEra < 0 ? previous : statedEra;
      }
      first = !known;
      known = true;
      current = statedEra;
    }
    seen.increment();
    if (!first) {
      listener.onNewEra(statedEra, previous);
    }
    return statedEra;
  }

  /**
   * Returns the newest era that is known.
   *
   * @return 0 before the first response and for a store that states no era
   */
  public long current() {
    return current;
  }

  /**
   * Returns the number of eras that this process has seen.
   *
   * @return 0 for a store that states no era; 1 above the number of restores that were noticed
   */
  public long seen() {
    return seen.sum();
  }
}
