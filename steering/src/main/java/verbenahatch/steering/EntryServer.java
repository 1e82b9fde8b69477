package verbenahatch.steering;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.internal.HttpConnection;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.DispatchGate;
import verbenahatch.http.IdleCaller;
import verbenahatch.http.WatchedConnectionFactory;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Kernel;
import verbenahatch.steering.RequestPreview.Query;
import verbenahatch.steering.feed.FeedPublisher;
import verbenahatch.steering.model.SteeringDocument.CallerLimits;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.WireProtocol;

/** Serves callers, readiness checks, the directory, feeds, metrics and the state dump over HTTP. */
final class EntryServer implements AutoCloseable {

  /** Nothing on the request path blocks, so few threads are enough on a small machine. */
  private static final int MAX_THREADS = 24;

  private static final int MIN_THREADS = 4;

  /** Margin on the idle timeout of the document, so that no request meets a closing connection. */
  private static final long IDLE_MARGIN_MILLIS = 2_000;

  /** Idle timeout of connections before the first document is applied. */
  private static final long INITIAL_IDLE_MILLIS = 30_000;

  /** Longest header before the first document is applied, in bytes. */
  private static final int INITIAL_MAX_HEADER_BYTES = 64 * 1024;

  /** Limit of pooled buffer memory in bytes, for heap and direct buffers each. */
  private static final long MAX_POOLED_BYTES = 16L * 1024 * 1024;

  /** Longest query of where a request would go, in bytes; a key and an object are short. */
  private static final int MAX_QUERY_BYTES = 16 * 1024;

  /** Connections that may wait to be accepted; bursts open hundreds at once. */
  private static final int ACCEPT_QUEUE = 1_024;

  private final SteeringState state;
  private final SteeringSettings settings;
  private final WireProtocol wire;
  private final Kernel kernel;
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
  private final Scheduler timer = new ScheduledExecutorScheduler("entry-timer", true);
  private final Server server;
  private final ServerConnector callerConnector;
  private final HttpConfiguration callerHttpConfig;
  private final HeaderTimeout headerTimeout;
  private final ServerConnector readinessConnector;
  private final ServerConnector directoryConnector;
  private final ServerConnector feedConnector;
  private final TargetPool pool;
  private final EntryContext context;
  private final Directory directory;
  private final FeedPublisher feeds;
  private final Closer closer = new Closer();
  private long idleMillis = INITIAL_IDLE_MILLIS;

  EntryServer(SteeringState state, WireProtocol wire, Kernel kernel) throws Exception {
    this.state = state;
    this.settings = state.settings;
    this.wire = wire;
    this.kernel = kernel;
    threads.setName("entry");
    threads.setDaemon(true);
    threads.start();
    timer.start();
    ArrayByteBufferPool buffers =
        new ArrayByteBufferPool(-1, -1, -1, -1, MAX_POOLED_BYTES, MAX_POOLED_BYTES);
    pool = new TargetPool(threads, timer, buffers);
    RequestLog log = new RequestLog(state.clock, state.events);
    context =
        new EntryContext(
            state, wire, pool, timer, new SteeringMetrics(kernel.metrics(), state.eras::seen), log);
    kernel.repeat("request-log", java.time.Duration.ofSeconds(1), log::flush);
    directory = new Directory(state, wire);
    server = new Server(threads, timer, buffers);
    callerConnector = connector(settings.callers());
    callerHttpConfig =
        callerConnector.getConnectionFactory(HttpConnectionFactory.class).getHttpConfiguration();
    headerTimeout = new HeaderTimeout(state.clock);
    readinessConnector = connector(settings.readiness());
    directoryConnector = connector(settings.directory());
    connector(settings.internalAddress() + ":" + settings.metricsPort());
    feedConnector = connector(settings.internalAddress() + ":" + settings.peerPort());
    feeds = new FeedPublisher(timer);
    state.publish(feeds);
    server.setHandler(new ConnectorDispatcher());
    server.setErrorHandler(new MalformedRequestHandler());
    closer.register(threads::stop);
    closer.register(timer::stop);
    closer.register(pool);
    closer.register(server::stop);
    server.start();
  }

  private ServerConnector connector(String address) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setRequestHeaderSize(INITIAL_MAX_HEADER_BYTES);
    http.setResponseHeaderSize(INITIAL_MAX_HEADER_BYTES);
    ServerConnector connector =
        new ServerConnector(server, null, timer, null, 0, 1, new WatchedConnectionFactory(http));
    int colon = address.lastIndexOf(':');
    connector.setHost(address.substring(0, colon));
    connector.setPort(Integer.parseInt(address.substring(colon + 1)));
    connector.setIdleTimeout(INITIAL_IDLE_MILLIS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    return connector;
  }

  /** Dispatches each request to the handler of its connector. */
  private final class ConnectorDispatcher extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Object connector = request.getConnectionMetaData().getConnector();
      if (connector == callerConnector) {
        serve(request, response, callback);
      } else if (connector == readinessConnector) {
        boolean ready = state.isReady();
        respond(response, callback, ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
      } else if (connector == directoryConnector) {
        directory.handle(request, response, callback);
      } else if (connector == feedConnector) {
        feeds.handle(request, response, callback);
      } else {
        handleInternal(request, response, callback);
      }
      return true;
    }

    private void serve(Request request, Response response, Callback callback) {
      DispatchGate gate = DispatchGate.of(request.getConnectionMetaData());
      if (gate != null && !gate.tryDispatch()) {
        // The caller was told that the request timed out and may repeat it.
        QuietException.Exception cause = new QuietException.Exception("the header timed out");
        request.getConnectionMetaData().getConnection().getEndPoint().close(cause);
        callback.failed(cause);
        return;
      }
      context.requestsInFlight.incrementAndGet();
      Callback countingCallback =
          Callback.from(
              callback,
              () -> {
                context.inFlight.remove(request);
                context.requestsInFlight.decrementAndGet();
              });
      try {
        EntryExchange exchange = new EntryExchange(context, request, response, countingCallback);
        context.inFlight.add(request, exchange);
        exchange.start();
      } catch (RuntimeException | Error e) {
        state.events.log(SteeringEvent.TASK_FAILED, "request", e.toString());
        countingCallback.failed(e);
      }
    }
  }

  private void handleInternal(Request request, Response response, Callback callback) {
    String path = request.getHttpURI().getPath();
    if ("/state".equals(path)) {
      String dump = Json.writePretty(kernel.state().dump());
      respond(response, callback, 200, "application/json", dump);
    } else if ("/metrics".equals(path)) {
      respond(response, callback, 200, "text/plain; version=0.0.4", metrics(kernel.metrics()));
    } else if ("/where".equals(path) && HttpMethod.POST.is(request.getMethod())) {
      Content.Source.asByteArrayAsync(request, MAX_QUERY_BYTES)
          .whenComplete((body, failure) -> explain(body, failure, response, callback));
    } else {
      String text = "paths are /state, /metrics and POST /where";
      respond(response, callback, 404, "text/plain", text);
    }
  }

  /** Responds to a query of {@link RequestPreview}; no part of the query, which may hold a key. */
  private void explain(
      byte @Nullable [] body, @Nullable Throwable failure, Response response, Callback callback) {
    if (body == null || failure != null) {
      respond(response, callback, 400, "text/plain", "the query could not be read");
      return;
    }
    try {
      Query query = Json.read(body, Query.class);
      String result = Json.writePretty(RequestPreview.of(state, query));
      respond(response, callback, 200, "application/json", result);
    } catch (JsonException e) {
      respond(response, callback, 400, "text/plain", "the query is not valid");
    }
  }

  private static String metrics(PrometheusRegistry registry) {
    ByteArrayOutputStream buffer = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(buffer, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing metrics to a memory buffer failed", e);
    }
    return buffer.toString(StandardCharsets.UTF_8);
  }

  static void respond(Response response, Callback callback, int status, String type, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }

  /** Responds to requests that the HTTP library rejects. */
  private static final class MalformedRequestHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      int status = response.getStatus();
      int errorStatus = status >= 400 ? status : HttpStatus.BAD_REQUEST_400;
      respond(response, callback, errorStatus, "text/plain", HttpStatus.getMessage(errorStatus));
      return true;
    }
  }

  /**
   * Applies the caller limits of the document in force and closes connections with late headers.
   */
  void applyLimits() {
    DocumentIndex index = state.document();
    if (index == null) {
      return;
    }
    CallerLimits limits = index.document.limits();
    callerHttpConfig.setRequestHeaderSize(limits.maxHeaderBytes());
    int timedOut =
        headerTimeout.check(callerConnector.getConnectedEndPoints(), limits.headerTimeoutMillis());
    if (timedOut > 0) {
      state.events.log(SteeringEvent.HEADER_TIMEOUT, timedOut, limits.headerTimeoutMillis());
    }
    long newIdleMillis = limits.idleTimeoutMillis() + IDLE_MARGIN_MILLIS;
    if (newIdleMillis != idleMillis) {
      idleMillis = newIdleMillis;
      callerConnector.setIdleTimeout(newIdleMillis);
      for (EndPoint endPoint : callerConnector.getConnectedEndPoints()) {
        endPoint.setIdleTimeout(newIdleMillis);
      }
    }
  }

  int runningRequests() {
    return context.requestsInFlight.get();
  }

  /** Logs the requests that are in flight when the process is about to end. */
  void logCutRequests() {
    context.inFlight.logCut(state.events, state.clock.nanoTime());
  }

  /**
   * Accepts no further connections from callers.
   *
   * <p>A stop calls this last: closing the port or idle connections earlier would reset requests
   * that their callers have sent already and that could still get a refusal as not run.
   */
  void stopAccepting() {
    callerConnector.close();
  }

  /**
   * Closes the connections of callers on which no request is in progress.
   *
   * @return whether every connection is closed, or closed for output
   */
  boolean closeIdleConnections() {
    boolean allClosed = true;
    for (EndPoint endPoint : callerConnector.getConnectedEndPoints()) {
      allClosed &= endPoint.isOutputShutdown() || closeIfIdle(endPoint);
    }
    return allClosed;
  }

  private static boolean closeIfIdle(EndPoint endPoint) {
    return endPoint.getConnection() instanceof HttpConnection connection
        && IdleCaller.closeIfIdle(
            connection, () -> connection.getParser().isState(HttpParser.State.START));
  }

  boolean hasNoConnections() {
    return callerConnector.getConnectedEndPoints().isEmpty();
  }

  boolean isIdle() {
    return runningRequests() == 0;
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
