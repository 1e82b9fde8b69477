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

/**
 * Follows one feed on a thread of its own: lists, watches, and lists again after a gap.
 *
 * <p>A failed call is repeated after a pause that grows, so that an outage costs few calls.
 *
 * @param <T> the type of the objects
 */
public final class Follower<T> implements AutoCloseable {

  /** Longest wait of one watch; probes on the connection notice a lost path long before. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(25);

  /**
   * Longest wait of a watch that also shows whether the store still knows of the waiting calls. The
   * terms leave 6 s and more from the end of an outage to the next change that must be in force.
   */
  private static final Duration GUARD_WAIT = Duration.ofSeconds(4);

  /** Pause after changes, so that those that follow each other come in one call. */
  private static final long GATHER_MILLIS = 200;

  /** First and longest pause after a failed call. */
  private static final long MIN_PAUSE_MILLIS = 100;

  private static final long MAX_PAUSE_MILLIS = 600;

  /** Time between two looks at whether following may start. */
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
  private volatile long revision;
  private volatile long lostNanos;
  private volatile Runnable onChange = () -> {};
  private Duration watchWait = WATCH_WAIT;
  private BooleanSupplier startCondition = () -> true;
  private long startMillis;
  private long pauseMillis = MIN_PAUSE_MILLIS;

  /**
   * Creates a follower that is not started.
   *
   * @param kind the name in logs and in calls between hosts
   * @param store the feed of the store
   * @param messages translates the objects for other hosts
   * @param context what all followers share
   * @param apply takes changes, with true for a complete list
   * @param onReachable told when the feed is lost or answers again
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

  /** Makes this follower wait for a short time only in each call, before it is started. */
  public void useShortWaits() {
    watchWait = GUARD_WAIT;
  }

  /** Ends a watch that waits, which the store may have forgotten, and makes the next call. */
  public void repeatWatch() {
    if (watching) {
      thread.interrupt();
    }
  }

  /** Starts to follow. */
  public void start() {
    thread.start();
  }

  /**
   * Starts to follow as soon as it is known whom to ask.
   *
   * @param mayStart tells whether it is known
   * @param maxMillis the longest time to wait for it
   */
  public void startAfter(BooleanSupplier mayStart, long maxMillis) {
    startCondition = mayStart;
    startMillis = maxMillis;
    start();
  }

  /**
   * Sets what is told of each change, and of the loss of the store.
   *
   * @param action called on the thread of this follower
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
   * Tells whether the feed answers.
   *
   * @return true if the last call to the store or to another host succeeded
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Tells whether the store refused this host's own last call.
   *
   * @return false also if this host never had to call it
   */
  public boolean storeFailed() {
    return feed.storeFailed();
  }

  /**
   * Tells whether this host reads the feed from the store itself.
   *
   * @return true if all objects were read and the last call to the store succeeded
   */
  public boolean readsStore() {
    return listed && reachable && feed.isDirect();
  }

  /**
   * Tells whether all objects were read once.
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
  public long revision() {
    return revision;
  }

  /**
   * Returns the revision of the newest change that was applied.
   *
   * @return at most {@link #revision()}
   */
  public long newestChange() {
    return log.newestChange();
  }

  /** Lists again at once and from the store, because another host knows a newer revision. */
  public void refresh() {
    feed.distrust();
    relist = true;
    thread.interrupt();
  }

  /** Ends a call that waits at a host that should no longer be asked. */
  public void checkSource() {
    if (feed.isOutdated()) {
      repeatWatch();
    }
  }

  private void awaitStart() {
    long end = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(startMillis);
    while (!closed && !startCondition.getAsBoolean() && end - clock.nanoTime() > 0) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(START_CHECK_MILLIS));
    }
  }

  private void run() {
    awaitStart();
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
      log.apply(changes, false);
      apply.accept(changes, false);
      revision = changes.revision();
      onChange.run();
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
