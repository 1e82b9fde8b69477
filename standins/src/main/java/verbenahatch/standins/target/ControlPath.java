package verbenahatch.standins.target;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;

/**
 * Handles requests for health and load reports and control requests of a target.
 *
 * <p>{@code GET /health} and {@code GET /load} are available on both ports. On the control port,
 * {@code GET} and {@code PUT /behaviour} read and replace the behaviour; {@code GET /log?after=n},
 * {@code /heads}, {@code /runs} and {@code /counts} read the log.
 */
final class ControlPath {

  private static final int MAX_BODY_BYTES = 1 << 20;

  private final TargetServer target;

  ControlPath(TargetServer target) {
    this.target = target;
  }

  private record Load(long inFlight, int slots) {}

  static boolean isReportRequest(Request request) {
    String path = request.getHttpURI().getPath();
    return "/health".equals(path) || "/load".equals(path);
  }

  void handle(Request request, Response response, Callback callback) {
    String path = request.getHttpURI().getPath();
    switch (path) {
      case "/health" -> health(response, callback);
      case "/load" -> load(response, callback);
      case "/behaviour" -> behaviour(request, response, callback);
      case "/log" -> write(response, callback, 200, target.log().entries(afterParameter(request)));
      case "/heads" -> write(response, callback, 200, target.log().heads());
      case "/runs" -> write(response, callback, 200, target.log().runs());
      case "/counts" -> write(response, callback, 200, target.log().counts());
      default -> write(response, callback, 404, Map.of("path", path));
    }
  }

  private static long afterParameter(Request request) {
    Fields.Field field = Request.extractQueryParameters(request).get("after");
    return field == null ? 0 : Long.parseLong(field.getValue());
  }

  private void health(Response response, Callback callback) {
    Behaviour behaviour = target.behaviour();
    int actualStatus = behaviour.draining() ? 503 : 200;
    int status = behaviour.health() == 0 ? actualStatus : behaviour.health();
    write(response, callback, status, Map.of("status", status));
  }

  private void load(Response response, Callback callback) {
    if (target.behaviour().loadSilent()) {
      write(response, callback, 500, Map.of());
      return;
    }
    Load report = new Load(target.reportedInFlight(), target.options().slots());
    write(response, callback, 200, report);
  }

  private void behaviour(Request request, Response response, Callback callback) {
    if (!HttpMethod.PUT.is(request.getMethod())) {
      write(response, callback, 200, target.behaviour());
      return;
    }
    Content.Source.asByteArrayAsync(request, MAX_BODY_BYTES)
        .whenComplete(
            (body, failure) -> {
              if (failure != null) {
                callback.failed(failure);
                return;
              }
              try {
                target.setBehaviour(Json.read(body, Behaviour.class));
                write(response, callback, 200, target.behaviour());
              } catch (JsonException e) {
                write(response, callback, 400, Map.of("error", String.valueOf(e.getMessage())));
              }
            });
  }

  private static void write(Response response, Callback callback, int status, Object value) {
    byte[] body = Json.write(value);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    response.write(true, ByteBuffer.wrap(body), callback);
  }
}
