package verbenahatch.steering.feed;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.BlockingClient;
import verbenahatch.http.BlockingClient.Outcome;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.FeedAnswer;
import verbenahatch.peer.generated.FeedObject;
import verbenahatch.steering.model.Feed.Changes;
import verbenahatch.steering.model.Feed.FeedError;
import verbenahatch.steering.model.StoreRevision;

/**
 * Reads feeds from other hosts.
 *
 * <p>Thread-safe. The client starts with the first request, so that it costs nothing in a small
 * fleet, where hosts read the store directly.
 */
public final class PeerFeeds implements AutoCloseable {

  /** Short, because a relay is near: if connecting takes longer, it is not reachable. */
  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private static final long LIST_TIMEOUT_MILLIS = 1_500;

  /** Time beyond the wait of a watch after which its request times out. */
  private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 800;

  private static final long IDLE_TIMEOUT_MILLIS = 40_000;

  /** Longest response that is read; all targets of a fleet of 541 hosts take about 1 MB. */
  private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  private static final int OK = 200;
  private static final int GONE = 410;

  private @Nullable BlockingClient client;

  /** Creates a reader whose client is not started. */
  public PeerFeeds() {}

  private synchronized BlockingClient client() throws Exception {
    BlockingClient current = client;
    if (current == null) {
      current =
          new BlockingClient(
              "peer-feeds", CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES);
      client = current;
    }
    return current;
  }

  /**
   * Reads all objects that another host holds.
   *
   * @param <T> the type of the objects
   * @param peer the address of the other host for peers, IP number and port
   * @param kind the kind of the feed
   * @param messages converts its objects
   * @param allowStoreLost whether to accept objects of a host that does not reach the store at
   *     present
   * @return the objects, or the reason why they could not be read
   */
  <T> Result<Changes<T>, FeedError> list(
      String peer, String kind, FeedMessages<T> messages, boolean allowStoreLost) {
    String path = FeedPublisher.path(kind) + (allowStoreLost ? "?lost=true" : "");
    return read(call(peer, path, LIST_TIMEOUT_MILLIS), messages);
  }

  /**
   * Waits for changes that another host reads.
   *
   * @param <T> the type of the objects
   * @param peer the address of the other host for peers, IP number and port
   * @param kind the kind of the feed
   * @param messages converts its objects
   * @param revision the revision after which changes are returned
   * @param maxWait the longest time to wait
   * @return the changes, possibly none, or the reason why they could not be read
   */
  <T> Result<Changes<T>, FeedError> watch(
      String peer,
      String kind,
      FeedMessages<T> messages,
      StoreRevision revision,
      Duration maxWait) {
    String path =
        FeedPublisher.path(kind)
            + "?after="
            + revision.number()
            + "&era="
            + revision.era()
            + "&wait="
            + maxWait.toMillis();
    return read(call(peer, path, maxWait.toMillis() + WATCH_TIMEOUT_MARGIN_MILLIS), messages);
  }

  private Outcome call(String peer, String pathAndQuery, long timeoutMillis) {
    int colon = peer.lastIndexOf(':');
    String address = peer.substring(0, colon);
    int port = Integer.parseInt(peer.substring(colon + 1));
    try {
      BlockingClient started = client();
      return started.call(started.newRequest(address, port).path(pathAndQuery), timeoutMillis);
    } catch (Exception e) {
      return new Outcome.NoResponse("could not start the HTTP client for peers: " + e);
    }
  }

  private static <T> Result<Changes<T>, FeedError> read(Outcome answer, FeedMessages<T> messages) {
    if (!(answer instanceof Outcome.Received received)) {
      return unavailable(answer.toString());
    }
    if (received.status() == GONE) {
      return Result.err(new FeedError.HistoryGone());
    }
    if (received.status() != OK) {
      return unavailable("peer responded with status " + received.status());
    }
    try {
      FeedAnswer message = FeedAnswer.parseFrom(received.body());
      Map<String, T> written = new HashMap<>();
      for (FeedObject object : message.getWrittenList()) {
        written.put(object.getName(), messages.read(object));
      }
      return Result.ok(
          new Changes<>(
              written,
              new HashSet<>(message.getGoneList()),
              new StoreRevision(message.getEra(), message.getRevision()),
              new StoreRevision(message.getNewestChangeEra(), message.getNewestChange())));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return unavailable("invalid response of a peer: " + e);
    }
  }

  private static <T> Result<Changes<T>, FeedError> unavailable(String reason) {
    return Result.err(new FeedError.Unavailable(reason));
  }

  @Override
  public synchronized void close() throws Exception {
    BlockingClient started = client;
    if (started != null) {
      started.close();
    }
  }
}
