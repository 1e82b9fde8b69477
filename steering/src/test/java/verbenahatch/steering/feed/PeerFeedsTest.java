package verbenahatch.steering.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static verbenahatch.steering.feed.FeedSamples.revision;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Result;
import verbenahatch.steering.feed.FeedSamples.FixedSources;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.Feed.FeedError;
import verbenahatch.steering.model.StoreRevision;

/** Guards against hosts that miss changes, or apply stale ones, when they follow another host. */
class PeerFeedsTest {

  private static final long TIMEOUT_SECONDS = 10;
  private static final Duration MAX_WAIT = Duration.ofSeconds(TIMEOUT_SECONDS);

  private final BlockingQueue<Result<Changes<String>, FeedError>> store =
      new LinkedBlockingQueue<>();
  private final BlockingQueue<Changes<String>> applied = new LinkedBlockingQueue<>();
  private final BlockingQueue<Boolean> reachable = new LinkedBlockingQueue<>();
  private final List<String> storeCalls = new ArrayList<>();
  private final ScheduledExecutorScheduler timer = new ScheduledExecutorScheduler("test", true);
  private final Server server = new Server();
  private final PeerFeeds peers = new PeerFeeds();
  private Follower<String> relay;
  private FeedPublisher publisher;
  private String address;

  /** Returns the results that the test puts into the queue, and waits for each. */
  private final class QueuedStore implements Feed<String> {
    @Override
    public Result<Changes<String>, FeedError> list() {
      return next("list");
    }

    @Override
    public Result<Changes<String>, FeedError> watch(StoreRevision revision, Duration maxWait) {
      return next("watch");
    }

    private Result<Changes<String>, FeedError> next(String call) {
      storeCalls.add(call);
      try {
        return store.take();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return Result.err(new FeedError.Unavailable("interrupted"));
      }
    }
  }

  private static Result<Changes<String>, FeedError> written(long revision, String zone) {
    return Result.ok(
        new Changes<>(Map.of(zone, zone), Set.of(), revision(revision), revision(revision)));
  }

  private Follower<String> follower(Feed<String> source, FeedSources sources) {
    return new Follower<>(
        "zones",
        source,
        new ZoneMessages(),
        FeedSamples.context(sources),
        (changes, complete) -> applied.add(changes),
        reachable::add);
  }

  @BeforeEach
  void start() throws Exception {
    timer.start();
    publisher = new FeedPublisher(timer);
    relay = follower(new QueuedStore(), FeedSamples.ALONE);
    publisher.publish(relay, new ZoneMessages());
    ServerConnector connector = new ServerConnector(server);
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            publisher.handle(request, response, callback);
            return true;
          }
        });
    server.start();
    address = "127.0.0.1:" + connector.getLocalPort();
    relay.start();
  }

  @AfterEach
  void stop() throws Exception {
    relay.close();
    peers.close();
    server.stop();
    timer.stop();
  }

  private Changes<String> nextApplied() throws InterruptedException {
    Changes<String> changes = applied.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(changes != null, "nothing was applied");
    return changes;
  }

  private Result<Changes<String>, FeedError> list(boolean allowStoreLost) {
    return peers.list(address, "zones", new ZoneMessages(), allowStoreLost);
  }

  @Test
  void refusesRequestsBeforeTheFirstList() {
    assertInstanceOf(FeedError.Unavailable.class, list(true).error());
  }

  @Test
  void listsAndWaitsForChanges() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    assertEquals(Set.of("a"), list(false).get().written().keySet());
    store.add(written(7, "b"));
    Changes<String> changes =
        peers.watch(address, "zones", new ZoneMessages(), revision(5), MAX_WAIT).get();
    assertEquals(Set.of("b"), changes.written().keySet());
    assertEquals(revision(7), changes.revision());
  }

  @Test
  void historyBeforeTheListIsGone() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    assertInstanceOf(
        FeedError.HistoryGone.class,
        peers.watch(address, "zones", new ZoneMessages(), revision(3), MAX_WAIT).error());
  }

  /**
   * Followers must detect an outage, because otherwise they would drop targets whose entries only
   * expired.
   */
  @Test
  void waitingRequestEndsWhenTheStoreIsLost() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    store.add(Result.err(new FeedError.Unavailable("down")));
    assertInstanceOf(
        FeedError.Unavailable.class,
        peers.watch(address, "zones", new ZoneMessages(), revision(5), MAX_WAIT).error());
    assertInstanceOf(FeedError.Unavailable.class, list(false).error());
  }

  /** A host that starts during an outage of the store uses what another host read before. */
  @Test
  void firstListIsTakenFromHostWithoutStore() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    store.add(Result.err(new FeedError.Unavailable("down")));
    assertTrue(reachable.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    reachable.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertEquals(Set.of("a"), list(true).get().written().keySet());
  }

  @Test
  void followerReadsFromTheRelayAndNotFromTheStore() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    Follower<String> follower = follower(new FailingStore(), new FixedSources(address, null));
    follower.start();
    assertEquals(Set.of("a"), nextApplied().written().keySet());
    store.add(written(8, "b"));
    assertEquals(Set.of("b"), nextApplied().written().keySet());
    assertEquals(Set.of("b"), nextApplied().written().keySet());
    assertEquals(revision(8), follower.newestChange());
    assertTrue(!follower.storeFailed() && !follower.readsStore());
    follower.close();
  }

  /**
   * A host behind a relay must list again after a restore of the store, although the revisions of
   * the relay went back; a host that states no era must not do so without end.
   */
  @Test
  void followerFollowsTheRelayIntoNewEra() throws Exception {
    store.add(written(5, "a"));
    nextApplied();
    Follower<String> follower = follower(new FailingStore(), new FixedSources(address, null));
    follower.start();
    assertEquals(Set.of("a"), nextApplied().written().keySet());
    StoreRevision restored = new StoreRevision(1, 3);
    Changes<String> list = new Changes<>(Map.of("b", "b"), Set.of(), restored, restored);
    store.add(Result.ok(list));
    store.add(Result.ok(list));
    assertEquals(list, nextApplied());
    assertEquals(list, nextApplied());
    follower.close();
    URI uri = URI.create("http://" + address + "/feeds/zones?after=3&wait=0");
    HttpRequest request = HttpRequest.newBuilder(uri).build();
    int status =
        HttpClient.newHttpClient()
            .send(request, HttpResponse.BodyHandlers.discarding())
            .statusCode();
    assertEquals(200, status);
  }

  /** A host whose calls to the store fail follows another host that reaches the store. */
  @Test
  void hostWithoutStoreFollowsSubstitute() throws InterruptedException {
    store.add(written(5, "a"));
    nextApplied();
    Follower<String> follower = follower(new FailingStore(), new FixedSources(null, address));
    follower.start();
    assertEquals(Set.of("a"), nextApplied().written().keySet());
    assertTrue(follower.storeFailed());
    follower.close();
  }

  /** Fails each call at once. */
  private static final class FailingStore implements Feed<String> {
    @Override
    public Result<Changes<String>, FeedError> list() {
      return Result.err(new FeedError.Unavailable("refused"));
    }

    @Override
    public Result<Changes<String>, FeedError> watch(StoreRevision revision, Duration maxWait) {
      return list();
    }
  }
}
