package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.model.HostRecord;

/**
 * Decides when this host writes its own record to the store, and when it removes it.
 *
 * <p>Answers the load of a store that loses acknowledged writes in a restore, also between the
 * write and its response: a call counts for the era that was known before it, so it is repeated in
 * each later era. Must be called by one thread; has no I/O.
 */
final class HostRegistration {

  /** Pause after a call, so that the feed can confirm it meanwhile. */
  private static final long PAUSE_MILLIS = 2_000;

  /** A call to make. */
  enum Action {
    NONE,
    WRITE,
    REMOVE
  }

  /** What is known of this host's record in the store. */
  private enum RecordState {
    NEVER_WRITTEN,
    WRITTEN,
    REMOVED,
    /** Written or removed in an earlier era. */
    UNKNOWN
  }

  /**
   * Describes what the store is known to hold.
   *
   * @param storeEra the newest era of the store that is known
   * @param reachable whether the feed of hosts answers
   * @param feedEra the era in which the feed of hosts was read
   * @param record the record that the feed shows for this host, null if it shows none
   */
  record View(long storeEra, boolean reachable, long feedEra, @Nullable HostRecord record) {

    boolean isCurrent() {
      return reachable && feedEra == storeEra;
    }
  }

  private final HostRecord self;
  private RecordState state = RecordState.NEVER_WRITTEN;
  private long era;
  private long nextCallNanos;

  HostRegistration(HostRecord self, long nowNanos) {
    this.self = self;
    this.nextCallNanos = nowNanos;
  }

  /**
   * Returns the call to make now; {@link #confirm} must follow if the store confirms it.
   *
   * @param leaving whether this host stops
   * @param view what the store is known to hold
   * @param nowNanos the current time in ns
   */
  Action next(boolean leaving, View view, long nowNanos) {
    if (view.storeEra() > era) {
      era = view.storeEra();
      if (state != RecordState.NEVER_WRITTEN) {
        state = RecordState.UNKNOWN;
        nextCallNanos = nowNanos;
      }
    }
    if (nowNanos - nextCallNanos < 0) {
      return Action.NONE;
    }
    Action action = leaving ? nextRemoval() : nextWrite(view);
    if (action != Action.NONE) {
      nextCallNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS);
    }
    return action;
  }

  private Action nextRemoval() {
    boolean mayExist = state == RecordState.WRITTEN || state == RecordState.UNKNOWN;
    return mayExist ? Action.REMOVE : Action.NONE;
  }

  private Action nextWrite(View view) {
    if (!view.reachable()) {
      return Action.NONE;
    }
    if (state != RecordState.WRITTEN) {
      boolean shown = view.isCurrent() && self.equals(view.record());
      // After a restore the record that is shown may be one that is only held.
      if (state != RecordState.NEVER_WRITTEN || !shown) {
        return Action.WRITE;
      }
      state = RecordState.WRITTEN;
      return Action.NONE;
    }
    // Another host may have removed the record while this one was timed out.
    return view.isCurrent() && view.record() == null ? Action.WRITE : Action.NONE;
  }

  /** Records that the store confirmed the call that {@link #next} returned last. */
  void confirm(Action action) {
    state = action == Action.WRITE ? RecordState.WRITTEN : RecordState.REMOVED;
  }
}
