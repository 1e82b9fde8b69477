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
 * Notices that a caller on HTTP/1.1 closes its connection while its request runs.
 *
 * <p>The server library does not read between a request and its answer. The watch reads one byte at
 * most; a byte of a pipelined request goes back to the connection.
 */
public final class CallerWatch implements Callback {

  private final EndPoint endPoint;
  private final Connection connection;
  private final Consumer<Throwable> onGone;
  private boolean over;

  private CallerWatch(EndPoint endPoint, Connection connection, Consumer<Throwable> onGone) {
    this.endPoint = endPoint;
    this.connection = connection;
    this.onGone = onGone;
  }

  /**
   * Begins to watch.
   *
   * @param request a request whose body was read completely
   * @param onGone called at most once if the caller goes away
   * @return the watch, to be ended before the answer is completed; null if none is needed
   */
  public static @Nullable CallerWatch begin(Request request, Consumer<Throwable> onGone) {
    if (request.getConnectionMetaData().getHttpVersion() != HttpVersion.HTTP_1_1) {
      return null;
    }
    Connection connection = request.getConnectionMetaData().getConnection();
    EndPoint endPoint = connection.getEndPoint();
    if (endPoint == null) {
      return null;
    }
    return begin(endPoint, connection, onGone);
  }

  static @Nullable CallerWatch begin(
      EndPoint endPoint, Connection connection, Consumer<Throwable> onGone) {
    CallerWatch watch = new CallerWatch(endPoint, connection, onGone);
    return endPoint.tryFillInterested(watch) ? watch : null;
  }

  /**
   * Stops watching and gives the connection back to the server.
   *
   * <p>Waits while the watch moves a byte: the next request of the caller may be arriving, and the
   * server must not read on before that byte is back.
   */
  public void end() {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    if (endPoint instanceof AbstractEndPoint watched) {
      watched.getFillInterest().onFail(new IOException("watch is over"));
    }
  }

  @Override
  public void succeeded() {
    Throwable gone = takeByte();
    if (gone != null) {
      onGone.accept(gone);
    }
  }

  private synchronized @Nullable Throwable takeByte() {
    if (over) {
      return null;
    }
    over = true;
    ByteBuffer buffer = BufferUtil.allocate(1);
    try {
      int filled = endPoint.fill(buffer);
      if (filled == 0) {
        // The selector can report input that the server has read since; the caller is still there.
        over = !endPoint.tryFillInterested(this);
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
      if (over) {
        return;
      }
      over = true;
    }
    onGone.accept(cause);
  }
}
