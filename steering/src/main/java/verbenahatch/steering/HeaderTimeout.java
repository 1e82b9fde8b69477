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
import verbenahatch.kernel.Clock;

/**
 * Closes connections on which the header of a request takes too long.
 *
 * <p>The idle timeout of the HTTP library restarts with each byte, so a caller that sends single
 * bytes slowly could hold its connection indefinitely. Must be called by one thread; a connection
 * is closed up to one call period too late.
 */
final class HeaderTimeout {

  private static final byte[] RESPONSE =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  /** Holds when the header of a message was first seen incomplete on a connection. */
  private record HeaderStart(long messageNumber, long startNanos) {}

  private final Clock clock;
  private Map<EndPoint, HeaderStart> headerStarts = new HashMap<>();

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
    Map<EndPoint, HeaderStart> nextStarts = new HashMap<>();
    for (EndPoint endPoint : connections) {
      if (!(endPoint.getConnection() instanceof HttpConnection connection)
          || !isInHeader(connection.getParser().getState())) {
        continue;
      }
      HeaderStart start = headerStarts.get(endPoint);
      long messageNumber = connection.getMessagesIn();
      if (start == null || start.messageNumber != messageNumber) {
        nextStarts.put(endPoint, new HeaderStart(messageNumber, now));
      } else if (now - start.startNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
        nextStarts.put(endPoint, start);
      } else {
        closed++;
        respondAndClose(endPoint);
      }
    }
    headerStarts = nextStarts;
    return closed;
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
