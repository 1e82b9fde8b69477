package verbenahatch.admin;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.URIUtil;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Result;
import verbenahatch.model.KeyHash;
import verbenahatch.model.Settings;

/** Serves the administration API, the dump of the state, the metrics and the health checks. */
public final class AdminServer implements AutoCloseable {

  /** Calls may wait for the store or for a majority, so each holds a thread. */
  private static final int MAX_THREADS = 24;

  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final String JSON = "application/json";

  private final Kernel kernel;
  private final Settings settings;
  private final AdminRouter router;
  private final Server server;
  private final ServerConnector connector;

  /**
   * Starts the server on the admin endpoint of the settings.
   *
   * @param kernel the kernel, for state, metrics, readiness and events
   * @param settings the settings of the host
   * @param router the calls of the API
   * @throws IOException if the endpoint cannot be used
   */
  AdminServer(Kernel kernel, Settings settings, AdminRouter router) throws IOException {
    this.kernel = kernel;
    this.settings = settings;
    this.router = router;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
    threads.setName("verbenahatch-admin");
    threads.setDaemon(true);
    server = new Server(threads);
    connector = new ServerConnector(server, 1, 1);
    connector.setHost(settings.admin().address());
    connector.setPort(settings.admin().port());
    server.addConnector(connector);
    server.setHandler(new AdminHandler());
    try {
      server.start();
    } catch (Exception e) {
      throw new IOException("administration API does not start", e);
    }
    kernel.events().log(AdminEvent.LISTENING, port());
  }

  /**
   * Returns the port that the server listens on.
   *
   * @return the TCP port
   */
  public int port() {
    return connector.getLocalPort();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("administration API does not stop", e);
    }
  }

  private final class AdminHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Reply reply;
      try {
        reply = answer(request);
      } catch (IOException | RuntimeException e) {
        kernel
            .events()
            .log(AdminEvent.CALL_FAILED, request.getMethod(), path(request), e.toString());
        reply =
            Reply.json(500, new Answer.ErrorBody("failed", "see the log", null, null, null, null));
      }
      response.setStatus(reply.status());
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, reply.type());
      if (reply.status() == 401) {
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
      }
      response.write(true, ByteBuffer.wrap(reply.body()), callback);
      return true;
    }
  }

  private Reply answer(Request request) throws IOException {
    String path = path(request);
    if (HttpMethod.GET.is(request.getMethod())) {
      if (path.equals("/healthz")) {
        return Reply.json(200, Map.of("alive", true));
      }
      if (path.equals("/readyz")) {
        return readiness();
      }
      if (path.equals("/metrics")) {
        return metrics();
      }
    }
    Optional<String> operator = operator(request);
    if (operator.isEmpty()) {
      String from = Request.getRemoteAddr(request);
      kernel.events().log(AdminEvent.REFUSED_CREDENTIALS, from, request.getMethod(), path);
      return error(new AdminError.Unauthorized());
    }
    if (path.equals("/state") && HttpMethod.GET.is(request.getMethod())) {
      return Reply.json(200, kernel.state().dump());
    }
    if (!path.startsWith("/v1/")) {
      return error(new AdminError.NotFound("path " + path));
    }
    return api(request, path, operator.get());
  }

  private Reply api(Request request, String path, String operator) throws IOException {
    byte[] body;
    try (InputStream stream = Request.asInputStream(request)) {
      body = stream.readNBytes(MAX_BODY_BYTES + 1);
    }
    if (body.length > MAX_BODY_BYTES) {
      return error(AdminError.BadInput.of("$", "over 8 MB", "at most 8 MB of text"));
    }
    AdminCall call =
        new AdminCall(request.getMethod(), segments(path), query(request), body, operator);
    Result<Object, AdminError> result = router.answer(call);
    Reply reply =
        result.isOk() ? Reply.json(status(result.get()), result.get()) : error(result.error());
    if (!HttpMethod.GET.is(request.getMethod())) {
      kernel
          .events()
          .log(AdminEvent.OPERATOR_CALL, operator, request.getMethod(), path, reply.status());
    }
    return reply;
  }

  // Credentials are compared by their hash, so the time of the look-up tells nothing about them.
  private Optional<String> operator(Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    String scheme = "Bearer ";
    if (header == null || !header.regionMatches(true, 0, scheme, 0, scheme.length())) {
      return Optional.empty();
    }
    String hash = KeyHash.of(header.substring(scheme.length()).trim());
    return Optional.ofNullable(settings.operators().get(hash));
  }

  private Reply readiness() {
    Map<String, String> unmet = kernel.readiness().unmet();
    return Reply.json(
        unmet.isEmpty() ? 200 : 503, Map.of("ready", unmet.isEmpty(), "unmet", unmet));
  }

  private Reply metrics() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    writer.write(out, kernel.metrics().scrape());
    return new Reply(200, writer.getContentType(), out.toByteArray());
  }

  private static Reply error(AdminError error) {
    ErrorAnswers.ErrorAnswer answer = ErrorAnswers.of(error);
    return Reply.json(answer.status(), answer.body());
  }

  // A fact that no majority has confirmed may not be in force, so the answer must not look final.
  private static int status(Object body) {
    return body instanceof Answer.Spread spread && !spread.accepted() ? 202 : 200;
  }

  private static String path(Request request) {
    return request.getHttpURI().getPath();
  }

  private static List<String> segments(String path) {
    List<String> segments = new ArrayList<>();
    for (String segment : path.substring("/v1/".length()).split("/", -1)) {
      segments.add(URIUtil.decodePath(segment));
    }
    return List.copyOf(segments);
  }

  private static Map<String, String> query(Request request) {
    Map<String, String> query = new HashMap<>();
    Request.extractQueryParameters(request)
        .forEach(field -> query.put(field.getName(), field.getValue()));
    return query;
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record Reply(int status, String type, byte[] body) {
    static Reply json(int status, Object body) {
      return new Reply(status, JSON, Json.write(body));
    }
  }
}
