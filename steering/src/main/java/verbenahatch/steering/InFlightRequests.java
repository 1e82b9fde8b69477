package verbenahatch.steering;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Events;

/** Holds the requests of callers that are in flight. Thread-safe. */
final class InFlightRequests {

  /** Bounds the lines that one stop writes, as the process is about to end. */
  private static final int MAX_LINES = 50;

  private final Map<Request, EntryExchange> exchanges = new ConcurrentHashMap<>();

  void add(Request request, EntryExchange exchange) {
    exchanges.put(request, exchange);
  }

  void remove(Request request) {
    exchanges.remove(request);
  }

  /**
   * Logs the requests that the end of the process cuts off, at most {@value #MAX_LINES} of them.
   *
   * @param events the log of the process
   * @param nowNanos the current time in ns
   */
  void logCut(Events events, long nowNanos) {
    exchanges.values().stream()
        .limit(MAX_LINES)
        .forEach(exchange -> logCut(exchange, events, nowNanos));
  }

  private static void logCut(EntryExchange exchange, Events events, long nowNanos) {
    TargetAttempt attempt = exchange.inFlightAttempts.oldest();
    events.log(
        SteeringEvent.REQUEST_CUT,
        String.valueOf(exchange.caller.id()),
        exchange.scope.routeName(),
        attempt == null ? "-" : attempt.choice.target().record().id(),
        millis(exchange.startNanos, nowNanos),
        attempt == null ? -1 : millis(attempt.startNanos, nowNanos),
        missing(exchange.channel, attempt));
  }

  private static long millis(long startNanos, long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
  }

  private static String missing(CallerChannel channel, @Nullable TargetAttempt attempt) {
    if (channel.isFinished() || channel.isStreaming()) {
      return "write";
    }
    if (attempt != null) {
      return attempt.isSent() ? "response" : "connection";
    }
    return channel.isReadingBody() ? "body" : "admission";
  }
}
