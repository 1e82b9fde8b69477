package verbenahatch.steering.feed;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.peer.generated.FeedAnswer;
import verbenahatch.peer.generated.FeedObject;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.StoreRevision;

/**
 * Responds to other hosts that follow the feeds of this one.
 *
 * <p>Thread-safe. Only feeds that this host reads from the store itself are published, so that two
 * hosts cannot follow each other instead of the store.
 */
public final class FeedPublisher {

  private static final String PATH_PREFIX = "/feeds/";

  /** Longest wait of one request; the same as that of a watch of the store. */
  private static final long MAX_WAIT_MILLIS = 30_000;

  /** A feed with the conversion of its objects. */
  private record Published<T>(Follower<T> follower, FeedMessages<T> messages) {

    FeedAnswer answer(Changes<T> changes, boolean complete) {
      FeedAnswer.Builder answer =
          FeedAnswer.newBuilder()
              .setRevision(changes.revision().number())
              .setEra(changes.revision().era())
              .setNewestChange(changes.newestChange().number())
              .setNewestChangeEra(changes.newestChange().era())
              .setComplete(complete)
              .setStoreLost(!follower.readsStore())
              .addAllGone(changes.gone());
      changes
          .written()
          .forEach(
              (name, object) -> {
                FeedObject.Builder message = FeedObject.newBuilder().setName(name);
                messages.write(object, message);
                answer.addWritten(message);
              });
      return answer.build();
    }
  }

  /** A request that waits for changes after a revision. */
  private static final class WaitingRequest {
    final StoreRevision afterRevision;
    final Response response;
    final Callback callback;
    final AtomicBoolean responded = new AtomicBoolean();
    volatile Scheduler.@Nullable Task timeout;

    WaitingRequest(StoreRevision afterRevision, Response response, Callback callback) {
      this.afterRevision = afterRevision;
      this.response = response;
      this.callback = callback;
    }
  }

  private final Scheduler timer;
  private final Map<String, Published<?>> feeds = new ConcurrentHashMap<>();
  private final Map<String, List<WaitingRequest>> waitingRequests = new ConcurrentHashMap<>();

  /**
   * Creates a publisher without feeds.
   *
   * @param timer schedules the timeouts of waiting requests
   */
  public FeedPublisher(Scheduler timer) {
    this.timer = timer;
  }

  /**
   * Adds a feed.
   *
   * @param <T> the type of its objects
   * @param follower the follower that reads the feed
   * @param messages converts its objects
   */
  public <T> void publish(Follower<T> follower, FeedMessages<T> messages) {
    waitingRequests.put(follower.kind(), new CopyOnWriteArrayList<>());
    feeds.put(follower.kind(), new Published<>(follower, messages));
    follower.onChange(() -> respondToWaiting(follower.kind()));
  }

  static String path(String kind) {
    return PATH_PREFIX + kind;
  }

  /**
   * Responds to a request of another host, at once or when the feed changes.
   *
   * <p>The status is 404 for an unknown feed, 410 if the changes are no longer kept or the revision
   * is of another era of the store, and 503 if this host does not read the feed from the store at
   * present.
   *
   * @param request the request
   * @param response its response
   * @param callback completed when the response is written
   */
  public void handle(Request request, Response response, Callback callback) {
    String path = request.getHttpURI().getPath();
    Published<?> feed =
        path.startsWith(PATH_PREFIX) ? feeds.get(path.substring(PATH_PREFIX.length())) : null;
    if (feed == null) {
      send(response, callback, HttpStatus.NOT_FOUND_404, new byte[0]);
      return;
    }
    Fields query = Request.extractQueryParameters(request);
    long afterRevision = parseNumber(query, "after");
    if (afterRevision < 0) {
      sendAll(feed, Boolean.parseBoolean(query.getValue("lost")), response, callback);
      return;
    }
    // A host of an earlier version states no era; it must not list again without a pause.
    long statedEra = parseNumber(query, "era");
    long era = statedEra < 0 ? feed.follower.log().revision().era() : statedEra;
    WaitingRequest pending =
        new WaitingRequest(new StoreRevision(era, afterRevision), response, callback);
    if (answer(feed, pending, false)) {
      return;
    }
    List<WaitingRequest> pendingRequests = waitingRequests.get(feed.follower.kind());
    long waitMillis = Math.max(0, Math.min(MAX_WAIT_MILLIS, parseNumber(query, "wait")));
    pending.timeout =
        timer.schedule(() -> expire(feed, pending), waitMillis, TimeUnit.MILLISECONDS);
    if (pendingRequests != null) {
      pendingRequests.add(pending);
    }
    // Checks again, because a change between the first check and the entry in the list would
    // otherwise not be noticed.
    if (answer(feed, pending, false) && pendingRequests != null) {
      pendingRequests.remove(pending);
    }
  }

  private static long parseNumber(Fields query, String name) {
    String text = query.getValue(name);
    return text == null || !text.matches("\\d{1,18}") ? -1 : Long.parseLong(text);
  }

  private <T> void sendAll(
      Published<T> feed, boolean allowStoreLost, Response response, Callback callback) {
    Changes<T> all = feed.follower.log().all();
    if (all == null || !(allowStoreLost || feed.follower.readsStore())) {
      send(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, new byte[0]);
      return;
    }
    send(response, callback, HttpStatus.OK_200, feed.answer(all, true).toByteArray());
  }

  /**
   * Responds to a waiting request if the store is lost or there are changes, or after its timeout.
   *
   * @return whether the request has a response
   */
  private <T> boolean answer(Published<T> feed, WaitingRequest pending, boolean timedOut) {
    if (!feed.follower.readsStore()) {
      return sendOnce(pending, HttpStatus.SERVICE_UNAVAILABLE_503, new byte[0]);
    }
    Changes<T> changes = feed.follower.log().since(pending.afterRevision);
    if (changes == null) {
      return sendOnce(pending, HttpStatus.GONE_410, new byte[0]);
    }
    if (!timedOut && changes.written().isEmpty() && changes.gone().isEmpty()) {
      return false;
    }
    return sendOnce(pending, HttpStatus.OK_200, feed.answer(changes, false).toByteArray());
  }

  private static boolean sendOnce(WaitingRequest pending, int status, byte[] body) {
    if (pending.responded.compareAndSet(false, true)) {
      Scheduler.Task timeout = pending.timeout;
      if (timeout != null) {
        timeout.cancel();
      }
      send(pending.response, pending.callback, status, body);
    }
    return true;
  }

  private void expire(Published<?> feed, WaitingRequest pending) {
    answer(feed, pending, true);
    List<WaitingRequest> pendingRequests = waitingRequests.get(feed.follower.kind());
    if (pendingRequests != null) {
      pendingRequests.remove(pending);
    }
  }

  private void respondToWaiting(String kind) {
    Published<?> feed = feeds.get(kind);
    List<WaitingRequest> pendingRequests = waitingRequests.get(kind);
    if (feed == null || pendingRequests == null) {
      return;
    }
    for (WaitingRequest pending : pendingRequests) {
      if (answer(feed, pending, false)) {
        pendingRequests.remove(pending);
      }
    }
  }

  private static void send(Response response, Callback callback, int status, byte[] body) {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/x-protobuf");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}
