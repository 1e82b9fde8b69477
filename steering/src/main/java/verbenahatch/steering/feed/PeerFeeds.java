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

/**
 * Reads feeds from other hosts.
 *
 * <p>Thread-safe. The client is started with the first call, so that a small fleet pays nothing.
 */
public final class PeerFeeds implements AutoCloseable {

  /** A host that another one follows is near; a longer wait means that it is gone. */
  private static final long CONNECT_MILLIS = 500;

  private static final long LIST_MILLIS = 1_500;

  /** Time beyond the wait of a call after which its connection counts as silent. */
  private static final long MARGIN_MILLIS = 800;

  private static final long IDLE_MILLIS = 40_000;

  /** Longest answer that is read, in bytes; all targets of 541 hosts take about 1 MB. */
  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

  private static final int OK = 200;
  private static final int GONE = 410;

  private @Nullable BlockingClient client;

  /** Creates a client that is not started. */
  public PeerFeeds() {}

  private synchronized BlockingClient client() throws Exception {
    BlockingClient known = client;
    if (known == null) {
      known = new BlockingClient("peer-feeds", CONNECT_MILLIS, IDLE_MILLIS, MAX_ANSWER_BYTES);
      client = known;
    }
    return known;
  }

  /**
   * Reads all objects that another host holds.
   *
   * @param <T> the type of the objects
   * @param peer the address of the other host
   * @param kind the kind of the feed
   * @param messages translates its objects
   * @param lostToo whether to take objects of a host that does not reach the store at present
   * @return the objects, or why they could not be read
   */
  <T> Result<Changes<T>, FeedError> list(
      String peer, String kind, FeedMessages<T> messages, boolean lostToo) {
    String path = FeedPublisher.path(kind) + (lostToo ? "?lost=true" : "");
    return read(call(peer, path, LIST_MILLIS), messages);
  }

  /**
   * Waits for changes that another host sees.
   *
   * @param <T> the type of the objects
   * @param peer the address of the other host
   * @param kind the kind of the feed
   * @param messages translates its objects
   * @param revision the revision after which changes are returned
   * @param wait the longest time to wait
   * @return the changes, possibly none, or why they could not be read
   */
  <T> Result<Changes<T>, FeedError> watch(
      String peer, String kind, FeedMessages<T> messages, long revision, Duration wait) {
    String path = FeedPublisher.path(kind) + "?after=" + revision + "&wait=" + wait.toMillis();
    return read(call(peer, path, wait.toMillis() + MARGIN_MILLIS), messages);
  }

  private Outcome call(String peer, String pathAndQuery, long millis) {
    int colon = peer.lastIndexOf(':');
    String address = peer.substring(0, colon);
    int port = Integer.parseInt(peer.substring(colon + 1));
    try {
      BlockingClient started = client();
      return started.call(started.newRequest(address, port).path(pathAndQuery), millis);
    } catch (Exception e) {
      return new Outcome.NoResponse("the client for peers does not start: " + e);
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
      return unavailable("peer answered " + received.status());
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
              message.getRevision(),
              message.getNewestChange()));
    } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
      return unavailable("peer sent " + e);
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
