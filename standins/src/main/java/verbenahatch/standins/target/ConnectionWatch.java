package verbenahatch.standins.target;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.AbstractEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * Notices that the other side closes a connection while its request runs.
 *
 * <p>The HTTP/1.1 server does not read between a request and its answer and so would not notice.
 */
final class ConnectionWatch implements Callback {

  private final EndPoint endPoint;
  private final Runnable onClosed;
  private final AtomicBoolean over = new AtomicBoolean();

  private ConnectionWatch(EndPoint endPoint, Runnable onClosed) {
    this.endPoint = endPoint;
    this.onClosed = onClosed;
  }

  /**
   * Begins to watch.
   *
   * @param endPoint the connection of a request that was read completely
   * @param onClosed called at most once
   * @return the watch, to be ended before the answer is completed
   */
  static ConnectionWatch begin(EndPoint endPoint, Runnable onClosed) {
    ConnectionWatch watch = new ConnectionWatch(endPoint, onClosed);
    if (!endPoint.tryFillInterested(watch)) {
      watch.over.set(true);
    }
    return watch;
  }

  /** Stops watching and gives the connection back to the server. */
  void end() {
    if (over.compareAndSet(false, true) && endPoint instanceof AbstractEndPoint abstractEndPoint) {
      abstractEndPoint.getFillInterest().onFail(new IOException("watch is over"));
    }
  }

  @Override
  public void succeeded() {
    ByteBuffer buffer = BufferUtil.allocate(1);
    try {
      if (endPoint.fill(buffer) >= 0) {
        // Pipelined bytes cannot be given back, so the connection ends after this request.
        endPoint.close();
      }
    } catch (IOException e) {
      endPoint.close(e);
    }
    if (over.compareAndSet(false, true)) {
      onClosed.run();
    }
  }

  @Override
  public void failed(Throwable cause) {
    if (over.compareAndSet(false, true)) {
      onClosed.run();
    }
  }
}
