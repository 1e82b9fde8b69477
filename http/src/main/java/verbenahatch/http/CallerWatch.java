package verbenahatch.http;

import java.io.IOException;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Detects that an HTTP/1.1 caller closes its connection while its request is in progress.
 *
 * <p>The server library does not read from the connection between a request and its response, so it
 * does not detect the close itself. The watch reads ahead of the server; requests that the caller
 * sent ahead are stored for the server up to a bound. A caller that sends more than that and then
 * closes is detected when the response is written.
 */
public final class CallerWatch implements Callback {

  private final ReadAheadEndPoint endPoint;
  private final Consumer<Throwable> onDisconnect;
  private boolean ended;

  private CallerWatch(ReadAheadEndPoint endPoint, Consumer<Throwable> onDisconnect) {
    this.endPoint = endPoint;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Starts watching the connection of a request.
   *
   * <p>Reads ahead once before it returns. A host that is short of processor time may read a
   * request after its caller has already given up; the close is then detected here, before the
   * request is sent to a target.
   *
   * @param request a request whose body was read completely
   * @param onDisconnect called at most once, with the cause, if the caller closes the connection,
   *     or before this method returns if it has already closed it
   * @return the watch, on which {@link #end()} must be called before the response is completed;
   *     null if the request is not HTTP/1.1 or no {@link WatchedConnectionFactory} created its
   *     connection
   */
  public static @Nullable CallerWatch begin(Request request, Consumer<Throwable> onDisconnect) {
    if (request.getConnectionMetaData().getHttpVersion() != HttpVersion.HTTP_1_1) {
      return null;
    }
    EndPoint endPoint = request.getConnectionMetaData().getConnection().getEndPoint();
    return endPoint instanceof ReadAheadEndPoint watched ? begin(watched, onDisconnect) : null;
  }

  static CallerWatch begin(ReadAheadEndPoint endPoint, Consumer<Throwable> onDisconnect) {
    CallerWatch watch = new CallerWatch(endPoint, onDisconnect);
    watch.succeeded();
    return watch;
  }

  /**
   * Stops watching, so that the server can read from the connection again.
   *
   * <p>Blocks while the watch reads, because the server must not read on before the bytes are
   * stored for it. Calling this method again has no effect.
   */
  public void end() {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    endPoint.cancelAwait(new IOException("caller watch ended"));
  }

  @Override
  public void succeeded() {
    Throwable cause = readAhead();
    if (cause != null) {
      onDisconnect.accept(cause);
    }
  }

  private synchronized @Nullable Throwable readAhead() {
    if (ended) {
      return null;
    }
    ended = true;
    try {
      // The selector can report input that the server has read since then, so there may be none.
      return switch (endPoint.readAhead()) {
        case CLOSED -> new EofException("caller closed the connection");
        case FULL -> null;
        case WAITING -> {
          ended = !endPoint.awaitInput(this);
          yield null;
        }
      };
    } catch (IOException e) {
      return e;
    }
  }

  @Override
  public void failed(Throwable cause) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    onDisconnect.accept(cause);
  }
}
