package verbenahatch.steering.feed;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Result;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.StoreRevision;

/**
 * Reads a feed from the store, or from another host that reads it from the store.
 *
 * <p>A host that should read the store itself falls back to another host while its calls to the
 * store fail, and retries the store at a low rate. A host that follows a relay falls back to the
 * store when the relay has failed for some time. Calls are made by one thread; other threads may
 * read the state.
 *
 * @param <T> the type of the objects
 */
final class SwitchingFeed<T> implements Feed<T> {

  /** Time between calls to a store that does not answer this host. */
  private static final long DIRECT_RETRY_MILLIS = 1_000;

  /**
   * Time after the first failure of the relay after which a host calls the store itself. By then
   * the heartbeat of a host of the zone that reaches the store has arrived.
   */
  private static final long RELAY_TIMEOUT_MILLIS = 2_000;

  private final String kind;
  private final Feed<T> store;
  private final FeedMessages<T> messages;
  private final PeerFeeds peers;
  private final FeedSources sources;
  private final Clock clock;
  private final StoreEras eras;
  private volatile @Nullable String source;
  private volatile boolean storeFailed;
  private volatile boolean storeRequested;
  private boolean listed;
  private long lastStoreCallNanos;
  private boolean calledStore;
  private long relayLostNanos;
  private boolean relayLost;

  SwitchingFeed(String kind, Feed<T> store, FeedMessages<T> messages, FeedContext context) {
    this.kind = kind;
    this.store = store;
    this.messages = messages;
    this.peers = context.peers();
    this.sources = context.sources();
    this.clock = context.clock();
    this.eras = context.eras();
  }

  /** Returns whether the last call to the store itself failed; false if there was none. */
  boolean storeFailed() {
    return storeFailed;
  }

  /** Returns whether the current or last call goes to the store itself. */
  boolean isDirect() {
    return source == null;
  }

  /** Makes the next call go to the store itself, because the other host is behind. */
  void readStoreNext() {
    storeRequested = true;
  }

  /** Returns whether the current or last call goes to a host that is no longer a source. */
  boolean isSourceOutdated() {
    String currentSource = source;
    return currentSource != null
        && !currentSource.equals(sources.relay())
        && !currentSource.equals(sources.substitute());
  }

  @Override
  public Result<Changes<T>, FeedError> list() {
    String peer = chooseSource();
    Result<Changes<T>, FeedError> result =
        peer == null ? store.list() : peers.list(peer, kind, messages, !listed);
    recordResult(peer, result);
    listed |= result.isOk();
    return result;
  }

  @Override
  public Result<Changes<T>, FeedError> watch(StoreRevision revision, Duration maxWait) {
    String peer = chooseSource();
    Result<Changes<T>, FeedError> result;
    if (peer == null) {
      result = store.watch(revision, maxWait);
    } else {
      // A host whose store fails must not wait long here, so that it soon retries the store.
      Duration wait = storeFailed ? Duration.ofMillis(DIRECT_RETRY_MILLIS) : maxWait;
      result = peers.watch(peer, kind, messages, revision, wait);
    }
    recordResult(peer, result);
    return result;
  }

  /** Returns the address of the host to read from, null for the store. */
  private @Nullable String chooseSource() {
    String relay = sources.relay();
    String peer = relay == null ? sources.substitute() : relay;
    boolean direct;
    if (storeRequested || peer == null) {
      direct = true;
    } else if (relay == null) {
      direct = !storeFailed || hasElapsed(lastStoreCallNanos, DIRECT_RETRY_MILLIS);
    } else {
      boolean relayTimedOut = relayLost && hasElapsed(relayLostNanos, RELAY_TIMEOUT_MILLIS);
      direct =
          relayTimedOut && (!calledStore || hasElapsed(lastStoreCallNanos, RELAY_TIMEOUT_MILLIS));
    }
    storeRequested = false;
    String chosen = direct ? null : peer;
    source = chosen;
    return chosen;
  }

  private boolean hasElapsed(long sinceNanos, long millis) {
    return clock.nanoTime() - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void recordResult(@Nullable String peer, Result<Changes<T>, FeedError> result) {
    boolean answered = result.isOk() || result.error() instanceof FeedError.HistoryGone;
    long nowNanos = clock.nanoTime();
    if (peer == null) {
      lastStoreCallNanos = nowNanos;
      calledStore = true;
      if (!Thread.currentThread().isInterrupted()) {
        storeFailed = !answered;
      }
      relayLost &= !answered;
      return;
    }
    if (result.isOk()) {
      // A host behind a relay seldom calls the store and learns of a restore here.
      eras.observe(result.get().revision().era());
    }
    if (answered) {
      relayLost = false;
    } else if (!relayLost && !Thread.currentThread().isInterrupted()) {
      relayLost = true;
      relayLostNanos = nowNanos;
    }
  }
}
