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

/** Serves the administration API, the state dump, the metrics and the health checks. */
public final class AdminServer implements AutoCloseable {

  /** Requests may wait for the store or for a majority, so each one occupies a thread. */
  private static final int MAX_THREADS = 24;

  private static final int MAX_BODY_BYTES = 8 << 20;
  private static final String JSON = "application/json";

  private final Kernel kernel;
  private final Settings settings;
  private final AdminRouter router;
  private final Server server;
  private final ServerConnector connector;

  /**
   * Starts the server on the admin endpoint given in the settings.
   *
   * @param kernel supplies state, metrics, readiness and events
   * @param settings the settings of the host
   * @param router dispatches the requests under {@code /v1}
   * @throws IOException if the server cannot listen on the endpoint
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
      throw new IOException("administration API cannot start", e);
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
      throw new IllegalStateException("administration API cannot stop", e);
    }
  }

  private final class AdminHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      RenderedResponse rendered;
      try {
        rendered = respond(request);
      } catch (IOException | RuntimeException e) {
        kernel
            .events()
            .log(AdminEvent.REQUEST_FAILED, request.getMethod(), path(request), e.toString());
        rendered =
            RenderedResponse.json(
                500, new ResponseBodies.ErrorBody("failed", "see the log", null, null, null, null));
      }
      response.setStatus(rendered.status());
      response.getHeaders().put(HttpHeader.CONTENT_TYPE, rendered.contentType());
      if (rendered.status() == 401) {
        response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
      }
      response.write(true, ByteBuffer.wrap(rendered.body()), callback);
      return true;
    }
  }

  private RenderedResponse respond(Request request) throws IOException {
    String path = path(request);
    if (HttpMethod.GET.is(request.getMethod())) {
      if (path.equals("/healthz")) {
        return RenderedResponse.json(200, Map.of("alive", true));
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
      String clientAddress = Request.getRemoteAddr(request);
      kernel.events().log(AdminEvent.REFUSED_CREDENTIALS, clientAddress, request.getMethod(), path);
      return error(new AdminError.Unauthorized());
    }
    if (path.equals("/state") && HttpMethod.GET.is(request.getMethod())) {
      return RenderedResponse.json(200, kernel.state().dump());
    }
    if (!path.startsWith("/v1/")) {
      return error(new AdminError.NotFound("path " + path));
    }
    return handleApiRequest(request, path, operator.get());
  }

  private RenderedResponse handleApiRequest(Request request, String path, String operator)
      throws IOException {
    byte[] body;
    try (InputStream stream = Request.asInputStream(request)) {
      body = stream.readNBytes(MAX_BODY_BYTES + 1);
    }
    if (body.length > MAX_BODY_BYTES) {
      return error(AdminError.BadInput.of("$", "over 8 MB", "at most 8 MB of text"));
    }
    AdminRequest adminRequest =
        new AdminRequest(request.getMethod(), segments(path), query(request), body, operator);
    Result<Object, AdminError> result = router.handle(adminRequest);
    RenderedResponse rendered =
        result.isOk()
            ? RenderedResponse.json(status(result.get()), result.get())
            : error(result.error());
    if (!HttpMethod.GET.is(request.getMethod())) {
      kernel
          .events()
          .log(AdminEvent.OPERATOR_REQUEST, operator, request.getMethod(), path, rendered.status());
    }
    return rendered;
  }

  // Credentials are looked up by their hash, so that the duration of the look-up reveals nothing
  // about them.
  private Optional<String> operator(Request request) {
    String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
    String scheme = "Bearer ";
    if (header == null || !header.regionMatches(true, 0, scheme, 0, scheme.length())) {
      return Optional.empty();
    }
    String hash = KeyHash.of(header.substring(scheme.length()).trim());
    return Optional.ofNullable(settings.operators().get(hash));
  }

  private RenderedResponse readiness() {
    Map<String, String> unmet = kernel.readiness().unmet();
    return RenderedResponse.json(
        unmet.isEmpty() ? 200 : 503, Map.of("ready", unmet.isEmpty(), "unmet", unmet));
  }

  private RenderedResponse metrics() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();
    writer.write(out, kernel.metrics().scrape());
    return new RenderedResponse(200, writer.getContentType(), out.toByteArray());
  }

  private static RenderedResponse error(AdminError error) {
    ErrorResponses.ErrorResponse response = ErrorResponses.of(error);
    return RenderedResponse.json(response.status(), response.body());
  }

  // A fact that no majority has confirmed may not be in force, so the status must not look final.
  private static int status(Object body) {
    return body instanceof ResponseBodies.FactSpread spread && !spread.accepted() ? 202 : 200;
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
        .forEach(parameter -> query.put(parameter.getName(), parameter.getValue()));
    return query;
  }

  @SuppressWarnings("ArrayRecordComponent")
  private record RenderedResponse(int status, String contentType, byte[] body) {
    static RenderedResponse json(int status, Object body) {
      return new RenderedResponse(status, JSON, Json.write(body));
    }
  }
}
