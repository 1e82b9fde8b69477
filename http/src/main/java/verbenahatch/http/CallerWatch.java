package verbenahatch.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.EofException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;

/**
 * Detects that an HTTP/1.1 caller closes its connection while its request is in progress.
 *
 * <p>The server library does not read from the connection between a request and its response, so it
 * does not detect the close itself. The watch reads at most one byte; if that byte belongs to a
 * pipelined request, it is returned to the connection.
 */
public final class CallerWatch implements Callback {

  private final EndPoint endPoint;
  private final Connection connection;
  private final Consumer<Throwable> onDisconnect;
  private boolean ended;

  private CallerWatch(EndPoint endPoint, Connection connection, Consumer<Throwable> onDisconnect) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.onDisconnect = onDisconnect;
  }

  /**
   * Starts watching the connection of a request.
   *
   * @param request a request whose body was read completely
   * @param onDisconnect called at most once, with the cause, if the caller closes the connection
   * @return the watch, on which {@link #end()} must be called before the response is completed;
   *     null if the request is not HTTP/1.1 or its connection cannot be watched
   */
  public static @Nullable CallerWatch begin(Request request, Consumer<Throwable> onDisconnect) {
    if (request.getConnectionMetaData().getHttpVersion() != HttpVersion.HTTP_1_1) {
      return null;
    }
    Connection connection = request.getConnectionMetaData().getConnection();
    EndPoint endPoint = connection.getEndPoint();
    if (endPoint == null) {
      return null;
    }
    return begin(endPoint, connection, onDisconnect);
  }

  static @Nullable CallerWatch begin(
      EndPoint endPoint, Connection connection, Consumer<Throwable> onDisconnect) {
    CallerWatch watch = new CallerWatch(endPoint, connection, onDisconnect);
    return endPoint.tryFillInterested(watch) ? watch : null;
  }

  /**
   * Stops watching, so that the server can read from the connection again.
   *
   * <p>Blocks while the watch reads a byte, because that byte may belong to the caller's next
   * request and the server must not read on before it is returned to the connection. Calling this
   * method again has no effect.
   */
  public void end() {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
    }
    if (endPoint instanceof AbstractEndPoint abstractEndPoint) {
      abstractEndPoint.getFillInterest().onFail(new IOException("caller watch ended"));
    }
  }

  @Override
  public void succeeded() {
    Throwable cause = readByte();
    if (cause != null) {
      onDisconnect.accept(cause);
    }
  }

  private synchronized @Nullable Throwable readByte() {
    if (ended) {
      return null;
    }
    ended = true;
    ByteBuffer buffer = BufferUtil.allocate(1);
    try {
      int filled = endPoint.fill(buffer);
      if (filled == 0) {
        // The selector can report input that the server has read since then; the caller is still
        // connected.
        ended = !endPoint.tryFillInterested(this);
        return null;
      }
      if (filled < 0) {
        return new EofException("caller closed the connection");
      }
      if (filled > 0 && connection instanceof Connection.UpgradeTo pipelined) {
        pipelined.onUpgradeTo(buffer);
      }
      return null;
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
