package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.DispatchGate;
import verbenahatch.kernel.Clock;

/**
 * Closes connections on which the header of a request takes too long.
 *
 * <p>The idle timeout of the HTTP library restarts with each byte, so a caller that sends single
 * bytes slowly could hold its connection indefinitely. Must be called by one thread. A connection
 * is closed only if its header is still incomplete some time after it was found overdue: when the
 * process continues after a pause, the rest of the header may have arrived but not been read.
 */
final class HeaderTimeout {

  private static final byte[] RESPONSE =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  /**
   * Time between finding a header overdue and closing its connection; within it a process that was
   * paused reads what has arrived.
   */
  private static final long CONFIRMATION_MILLIS = 200;

  /**
   * Holds the progress of a connection whose header is incomplete.
   *
   * @param dispatched the number of requests that the connection had dispatched before
   * @param startNanos when the header was first seen incomplete
   * @param overdueNanos when it was first seen overdue, null before
   */
  private record PendingHeader(long dispatched, long startNanos, @Nullable Long overdueNanos) {}

  private final Clock clock;
  private Map<EndPoint, PendingHeader> pendingHeaders = new HashMap<>();

  HeaderTimeout(Clock clock) {
    this.clock = clock;
  }

  /**
   * Closes the connections whose current header has been incomplete for too long.
   *
   * <p>They receive the status 408 before they are closed.
   *
   * @param connections the open connections of callers
   * @param timeoutMillis the longest time from the first to the last byte of a header, in ms
   * @return the number of connections closed
   */
  int check(Collection<EndPoint> connections, long timeoutMillis) {
    long now = clock.nanoTime();
    int closed = 0;
    Map<EndPoint, PendingHeader> stillPending = new HashMap<>();
    for (EndPoint endPoint : connections) {
      if (!(endPoint.getConnection() instanceof HttpConnection connection)) {
        continue;
      }
      DispatchGate gate = DispatchGate.of(connection);
      // The count must be read before the state: a request that is dispatched between the two
      // changes the count, and tryTimeOut then fails.
      long dispatched = gate == null ? -1 : gate.dispatched();
      if (gate == null || dispatched < 0 || !isInHeader(connection.getParser().getState())) {
        continue;
      }
      PendingHeader header = pendingHeaders.get(endPoint);
      if (header == null || header.dispatched != dispatched) {
        header = new PendingHeader(dispatched, now, null);
      } else if (hasElapsed(header.startNanos, timeoutMillis, now) && header.overdueNanos == null) {
        header = new PendingHeader(dispatched, header.startNanos, now);
      }
      Long overdueNanos = header.overdueNanos;
      if (overdueNanos == null || !hasElapsed(overdueNanos, CONFIRMATION_MILLIS, now)) {
        stillPending.put(endPoint, header);
      } else if (gate.tryTimeOut(dispatched)) {
        closed++;
        respondAndClose(endPoint);
      }
    }
    pendingHeaders = stillPending;
    return closed;
  }

  private static boolean hasElapsed(long sinceNanos, long millis, long nowNanos) {
    return nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private static boolean isInHeader(HttpParser.State state) {
    return state.compareTo(HttpParser.State.START) > 0
        && state.compareTo(HttpParser.State.CONTENT) < 0;
  }

  private static void respondAndClose(EndPoint endPoint) {
    Callback close = Callback.from(endPoint::close, failure -> endPoint.close(failure));
    endPoint.write(close, ByteBuffer.wrap(RESPONSE));
  }
}
