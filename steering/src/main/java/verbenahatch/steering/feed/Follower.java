package verbenahatch.steering.feed;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.steering.SteeringEvent;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.Feed.FeedError;
import verbenahatch.steering.model.StoreRevision;

/**
 * Follows one feed on its own thread: lists all objects, watches for changes, and lists again after
 * a gap.
 *
 * <p>A failed call is retried after a growing pause, so that an outage causes few calls.
 *
 * @param <T> the type of the objects
 */
public final class Follower<T> implements AutoCloseable {

  /** Longest wait of one watch; connection probes detect a lost network path long before. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(25);

  /**
   * Longest wait of a watch that also shows whether the store has lost the waiting calls. Must be
   * below 6 s, the shortest time from the end of an outage to the next change that must be in
   * force.
   */
  private static final Duration SHORT_WATCH_WAIT = Duration.ofSeconds(4);

  /** Pause after changes, so that the next call returns several changes at once. */
  private static final long BATCH_MILLIS = 200;

  /** First and longest pause after a failed call. */
  private static final long MIN_PAUSE_MILLIS = 100;

  private static final long MAX_PAUSE_MILLIS = 600;

  /** Time between two checks of the start condition. */
  private static final long START_CHECK_MILLIS = 20;

  private final String kind;
  private final SwitchingFeed<T> feed;
  private final FeedLog<T> log = new FeedLog<>();
  private final Clock clock;
  private final Events events;
  private final BiConsumer<Changes<T>, Boolean> apply;
  private final Consumer<Boolean> onReachable;
  private final Thread thread;
  private volatile boolean closed;
  private volatile boolean reachable;
  private volatile boolean listed;
  private volatile boolean relist;
  private volatile boolean watching;
  private volatile StoreRevision revision = StoreRevision.NONE;
  private volatile long lostNanos;
  private volatile Runnable onChange = () -> {};
  private Duration watchWait = WATCH_WAIT;
  private BooleanSupplier startCondition = () -> true;
  private long maxStartWaitMillis;
  private long pauseMillis = MIN_PAUSE_MILLIS;

  /**
   * Creates a follower that is not started.
   *
   * @param kind the name of the feed in logs and in requests between hosts
   * @param store the feed of the store
   * @param messages converts the objects for other hosts
   * @param context the dependencies that all followers of a host share
   * @param apply applies changes; its second argument is true for a complete list
   * @param onReachable called with false when the feed is lost, and with true when it answers again
   */
  public Follower(
      String kind,
      Feed<T> store,
      FeedMessages<T> messages,
      FeedContext context,
      BiConsumer<Changes<T>, Boolean> apply,
      Consumer<Boolean> onReachable) {
    this.kind = kind;
    this.feed = new SwitchingFeed<>(kind, store, messages, context);
    this.clock = context.clock();
    this.events = context.events();
    this.apply = apply;
    this.onReachable = onReachable;
    this.lostNanos = clock.nanoTime();
    this.thread = new Thread(this::run, "follow-" + kind);
    thread.setDaemon(true);
  }

  /** Limits the wait of each watch to 4 s; must be called before the start. */
  public void useShortWatches() {
    watchWait = SHORT_WATCH_WAIT;
  }

  /** Interrupts a waiting watch, which the store may have lost, so that the next call is made. */
  public void restartWatch() {
    if (watching) {
      thread.interrupt();
    }
  }

  /**
   * Lists again, because the store was restored; called with each new era of the store.
   *
   * <p>Does nothing on the thread of this follower, whose call shows the new era itself.
   */
  public void storeRestored() {
    if (Thread.currentThread() != thread) {
      relist = true;
      restartWatch();
    }
  }

  /** Starts to follow the feed. */
  public void start() {
    thread.start();
  }

  /**
   * Starts to follow the feed as soon as a condition holds.
   *
   * @param mayStart returns whether the source to read from is known
   * @param maxWaitMillis the longest wait for the condition in milliseconds, after which this
   *     follower starts anyway
   */
  public void startAfter(BooleanSupplier mayStart, long maxWaitMillis) {
    startCondition = mayStart;
    maxStartWaitMillis = maxWaitMillis;
    start();
  }

  /**
   * Sets the action that runs after each change and when the feed is lost.
   *
   * @param action run on the thread of this follower
   */
  void onChange(Runnable action) {
    onChange = action;
  }

  String kind() {
    return kind;
  }

  FeedLog<T> log() {
    return log;
  }

  /**
   * Returns whether the feed answers.
   *
   * @return true if the last call to the store or to another host succeeded
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Returns whether this host's own last call to the store failed.
   *
   * @return true if it failed; false also if this host never called the store
   */
  public boolean storeFailed() {
    return feed.storeFailed();
  }

  /**
   * Returns whether this host reads the feed from the store itself.
   *
   * @return true if all objects were read and the last call to the store succeeded
   */
  public boolean readsStore() {
    return listed && reachable && feed.isDirect();
  }

  /**
   * Returns whether all objects have been read once.
   *
   * @return true from the first complete list on
   */
  public boolean isListed() {
    return listed;
  }

  /**
   * Returns the revision up to which changes were applied.
   *
   * @return a revision of the store
   */
  public StoreRevision revision() {
    return revision;
  }

  /**
   * Returns the revision of the newest change that was applied.
   *
   * @return at most {@link #revision()}
   */
  public StoreRevision newestChange() {
    return log.newestChange();
  }

  /** Lists again at once, and from the store, because another host knows a newer revision. */
  public void refresh() {
    feed.readStoreNext();
    relist = true;
    thread.interrupt();
  }

  /** Interrupts a watch that waits at a host which is no longer a source of this one. */
  public void checkSource() {
    if (feed.isSourceOutdated()) {
      restartWatch();
    }
  }

  private void awaitStart() {
    long deadlineNanos = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxStartWaitMillis);
    while (!closed && !startCondition.getAsBoolean() && deadlineNanos - clock.nanoTime() > 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(START_CHECK_MILLIS));
    }
  }

  private void run() {
    awaitStart();
    while (!closed) {
      try {
        // An interrupt between two calls needs no further action, since the next call follows.
        Thread.interrupted();
        boolean listDue = relist || !listed;
        relist = false;
        if (!(listDue ? list() : watch())) {
          pause();
        }
      } catch (RuntimeException | Error e) {
        events.log(SteeringEvent.TASK_FAILED, "follow-" + kind, e.toString());
        pause();
      }
    }
  }

  private boolean list() {
    Result<Changes<T>, FeedError> result = feed.list();
    if (!result.isOk()) {
      relist = true;
      return markLost(result.error());
    }
    Changes<T> changes = result.get();
    markReachable();
    // A list of a lagging store must not undo changes that a watch has already returned, nor one
    // that was sent before a restore those of the new era.
    if (revision.isAfter(changes.revision())) {
      relist = true;
      return false;
    }
    log.apply(changes, true);
    apply.accept(changes, true);
    revision = changes.revision();
    listed = true;
    onChange.run();
    return true;
  }

  private boolean watch() {
    watching = true;
    Result<Changes<T>, FeedError> result = feed.watch(revision, watchWait);
    watching = false;
    if (!result.isOk()) {
      if (Thread.interrupted() || relist) {
        return true;
      }
      relist = true;
      if (result.error() instanceof FeedError.HistoryGone) {
        markReachable();
        return true;
      }
      return markLost(result.error());
    }
    Changes<T> changes = result.get();
    markReachable();
    if (revision.isAfter(changes.revision()) || changes.revision().era() != revision.era()) {
      relist = true;
      return true;
    }
    if (!changes.written().isEmpty() || !changes.gone().isEmpty()) {
      log.apply(changes, false);
      apply.accept(changes, false);
      revision = changes.revision();
      onChange.run();
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(BATCH_MILLIS));
    }
    revision = changes.revision();
    return true;
  }

  private void markReachable() {
    pauseMillis = MIN_PAUSE_MILLIS;
    if (!reachable) {
      reachable = true;
      long lost = (clock.nanoTime() - lostNanos) / 1_000_000;
      events.log(SteeringEvent.FEED_REGAINED, kind, lost);
      onReachable.accept(true);
    }
  }

  private boolean markLost(FeedError error) {
    if (reachable) {
      reachable = false;
      lostNanos = clock.nanoTime();
      events.log(SteeringEvent.FEED_LOST, kind, error.toString());
      onReachable.accept(false);
      onChange.run();
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
