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
 * Ends connections on which a request's header takes too long.
 *
 * <p>The idle time-out of the HTTP library starts anew with each byte, so a caller that sends a
 * byte now and then would hold its connection for good. Called by one thread; a connection is ended
 * by up to one period of the calls too late.
 */
final class HeaderTimeout {

  private static final byte[] ANSWER =
      "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII);

  /** Tells since when a connection is within the header of one message. */
  private record Begun(long message, long sinceNanos) {}

  private final Clock clock;
  private Map<EndPoint, Begun> begun = new HashMap<>();

  HeaderTimeout(Clock clock) {
    this.clock = clock;
  }

  /**
   * Looks at all connections.
   *
   * @param connections the open connections of callers
   * @param millis the time that a header may take
   * @return how many were ended
   */
  int check(Collection<EndPoint> connections, long millis) {
    long now = clock.nanoTime();
    int ended = 0;
    Map<EndPoint, Begun> next = new HashMap<>();
    for (EndPoint endPoint : connections) {
      if (!(endPoint.getConnection() instanceof HttpConnection connection)
          || !isInHeader(connection.getParser().getState())) {
        continue;
      }
      Begun known = begun.get(endPoint);
      long message = connection.getMessagesIn();
      if (known == null || known.message != message) {
        next.put(endPoint, new Begun(message, now));
      } else if (now - known.sinceNanos < TimeUnit.MILLISECONDS.toNanos(millis)) {
        next.put(endPoint, known);
      } else {
        ended++;
        end(endPoint);
      }
    }
    begun = next;
    return ended;
  }

  private static boolean isInHeader(HttpParser.State state) {
    return state.compareTo(HttpParser.State.START) > 0
        && state.compareTo(HttpParser.State.CONTENT) < 0;
  }

  private static void end(EndPoint endPoint) {
    Callback close = Callback.from(endPoint::close, failure -> endPoint.close(failure));
    endPoint.write(close, ByteBuffer.wrap(ANSWER));
  }
}
