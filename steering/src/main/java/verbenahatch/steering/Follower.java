package verbenahatch.steering;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.Feed.FeedError;

/**
 * Follows one feed on a thread of its own: lists, watches, and lists again after a gap.
 *
 * <p>A failed call is repeated after a pause that grows, so that an outage costs few calls.
 *
 * @param <T> the type of the objects
 */
final class Follower<T> implements AutoCloseable {

  /** Longest wait of one watch; probes on the connection notice silence long before. */
  static final Duration WATCH_WAIT = Duration.ofSeconds(25);

  /** Pause after changes, so that those that follow each other come in one call. */
  private static final long GATHER_MILLIS = 200;

  /** First and longest pause after a failed call. */
  private static final long MIN_PAUSE_MILLIS = 100;

  private static final long MAX_PAUSE_MILLIS = 600;

  private final String kind;
  private final Feed<T> feed;
  private final Clock clock;
  private final Events events;
  private final BiConsumer<Changes<T>, Boolean> apply;
  private final Consumer<Boolean> onReachable;
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean reachable;
  private volatile boolean listed;
  private volatile boolean relist;
  private volatile long revision;
  private volatile long lostNanos;
  private long pauseMillis = MIN_PAUSE_MILLIS;

  /**
   * Creates a follower that is not started.
   *
   * @param kind the name in logs
   * @param feed what to follow
   * @param clock the clock of the process
   * @param events the log of the process
   * @param apply takes changes, with true for a complete list
   * @param onReachable told when the feed is lost or answers again
   */
  Follower(
      String kind,
      Feed<T> feed,
      Clock clock,
      Events events,
      BiConsumer<Changes<T>, Boolean> apply,
      Consumer<Boolean> onReachable) {
    this.kind = kind;
    this.feed = feed;
    this.clock = clock;
    this.events = events;
    this.apply = apply;
    this.onReachable = onReachable;
    this.lostNanos = clock.nanoTime();
    this.thread = new Thread(this::run, "follow-" + kind);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  boolean isReachable() {
    return reachable;
  }

  boolean isListed() {
    return listed;
  }

  /** Returns the revision up to which changes were applied. */
  long revision() {
    return revision;
  }

  /** Lists again at once, because another host knows a newer revision. */
  void refresh() {
    relist = true;
    thread.interrupt();
  }

  private void run() {
    while (!closed) {
      try {
        // An interrupt that came between two calls has done its work.
        Thread.interrupted();
        boolean list = relist || !listed;
        relist = false;
        if (!(list ? list() : watch())) {
          pause();
        }
      } catch (RuntimeException e) {
        events.log(SteeringEvent.TASK_FAILED, "follow-" + kind, e.toString());
        pause();
      }
    }
  }

  private boolean list() {
    Result<Changes<T>, FeedError> result = feed.list();
    if (!result.isOk()) {
      relist = true;
      return lost(result.error());
    }
    Changes<T> changes = result.get();
    reached();
    // A list may come from a store that lags; it must not undo what a watch has shown.
    if (changes.revision() < revision) {
      relist = true;
      return false;
    }
    apply.accept(changes, true);
    revision = changes.revision();
    listed = true;
    return true;
  }

  private boolean watch() {
    Result<Changes<T>, FeedError> result = feed.watch(revision, WATCH_WAIT);
    if (!result.isOk()) {
      if (Thread.interrupted() || relist) {
        return true;
      }
      relist = true;
      if (result.error() instanceof FeedError.HistoryGone) {
        reached();
        return true;
      }
      return lost(result.error());
    }
    Changes<T> changes = result.get();
    reached();
    if (changes.revision() < revision) {
      relist = true;
      return true;
    }
    if (!changes.written().isEmpty() || !changes.gone().isEmpty()) {
      apply.accept(changes, false);
      revision = changes.revision();
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(GATHER_MILLIS));
    }
    revision = changes.revision();
    return true;
  }

  private void reached() {
    pauseMillis = MIN_PAUSE_MILLIS;
    if (!reachable) {
      reachable = true;
      long lost = (clock.nanoTime() - lostNanos) / 1_000_000;
      events.log(SteeringEvent.FEED_REGAINED, kind, lost);
      onReachable.accept(true);
    }
  }

  private boolean lost(FeedError error) {
    if (reachable) {
      reachable = false;
      lostNanos = clock.nanoTime();
      events.log(SteeringEvent.FEED_LOST, kind, error.toString());
      onReachable.accept(false);
    }
    return false;
  }

  private void pause() {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(pauseMillis));
    pauseMillis = Math.min(MAX_PAUSE_MILLIS, pauseMillis * 2);
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
