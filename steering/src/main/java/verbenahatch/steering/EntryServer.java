package verbenahatch.steering;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.Kernel;
import verbenahatch.steering.feed.FeedPublisher;
import verbenahatch.steering.model.SteeringDocument.CallerLimits;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.WireProtocol;

/** Listens for callers, readiness checks, the directory, metrics and the state dump. */
final class EntryServer implements AutoCloseable {

  /** Nothing on the request path blocks, so few threads are enough for a small machine. */
  private static final int MAX_THREADS = 24;

  private static final int MIN_THREADS = 4;

  /** Time beyond the idle time of the document, so that a caller's request never meets a close. */
  private static final long IDLE_MARGIN_MILLIS = 2_000;

  /** Idle time of connections before the first document. */
  private static final long FIRST_IDLE_MILLIS = 30_000;

  /** Longest header before the first document says otherwise, in bytes. */
  private static final int MAX_HEADER_BYTES = 64 * 1024;

  /** Memory that idle buffers may keep, in bytes, on the heap and outside it. */
  private static final long MAX_POOLED_BYTES = 16L * 1024 * 1024;

  /** Connections that may wait to be accepted; bursts open hundreds at once. */
  private static final int ACCEPT_QUEUE = 1_024;

  private final SteeringState state;
  private final SteeringSettings settings;
  private final WireProtocol wire;
  private final Kernel kernel;
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
  private final Scheduler timer = new ScheduledExecutorScheduler("entry-timer", true);
  private final Server server;
  private final ServerConnector callers;
  private final HttpConfiguration callersHttp;
  private final HeaderTimeout headerTimeout;
  private final ServerConnector readiness;
  private final ServerConnector directoryConnector;
  private final ServerConnector feedConnector;
  private final TargetPool pool;
  private final EntryContext context;
  private final Directory directory;
  private final FeedPublisher feeds;
  private long idleMillis = FIRST_IDLE_MILLIS;

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
        new EntryContext(state, wire, pool, timer, new SteeringMetrics(kernel.metrics()), log);
    kernel.repeat("request-log", java.time.Duration.ofSeconds(1), log::flush);
    directory = new Directory(state, wire);
    server = new Server(threads, timer, buffers);
    callers = connector(settings.callers());
    callersHttp = callers.getConnectionFactory(HttpConnectionFactory.class).getHttpConfiguration();
    headerTimeout = new HeaderTimeout(state.clock);
    readiness = connector(settings.readiness());
    directoryConnector = connector(settings.directory());
    connector(settings.internalAddress() + ":" + settings.metricsPort());
    feedConnector = connector(settings.internalAddress() + ":" + settings.peerPort());
    feeds = new FeedPublisher(timer);
    state.publish(feeds);
    server.setHandler(new Entrance());
    server.setErrorHandler(new Malformed());
    server.start();
  }

  private ServerConnector connector(String address) {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setResponseHeaderSize(MAX_HEADER_BYTES);
    ServerConnector connector =
        new ServerConnector(server, null, timer, null, 0, 1, new HttpConnectionFactory(http));
    int colon = address.lastIndexOf(':');
    connector.setHost(address.substring(0, colon));
    connector.setPort(Integer.parseInt(address.substring(colon + 1)));
    connector.setIdleTimeout(FIRST_IDLE_MILLIS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    return connector;
  }

  /** Sends each request to the part that serves its port. */
  private final class Entrance extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      Object connector = request.getConnectionMetaData().getConnector();
      if (connector == callers) {
        serve(request, response, callback);
      } else if (connector == readiness) {
        boolean ready = state.isReady();
        answer(response, callback, ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
      } else if (connector == directoryConnector) {
        directory.handle(request, response, callback);
      } else if (connector == feedConnector) {
        feeds.handle(request, response, callback);
      } else {
        internal(request, response, callback);
      }
      return true;
    }

    private void serve(Request request, Response response, Callback callback) {
      context.running.incrementAndGet();
      Callback counted = Callback.from(callback, context.running::decrementAndGet);
      try {
        new EntryExchange(context, request, response, counted).start();
      } catch (RuntimeException e) {
        state.events.log(SteeringEvent.TASK_FAILED, "request", e.toString());
        counted.failed(e);
      }
    }
  }

  private void internal(Request request, Response response, Callback callback) {
    String path = request.getHttpURI().getPath();
    if ("/state".equals(path)) {
      String dump = Json.writePretty(kernel.state().dump());
      answer(response, callback, 200, "application/json", dump);
    } else if ("/metrics".equals(path)) {
      answer(response, callback, 200, "text/plain; version=0.0.4", metrics(kernel.metrics()));
    } else {
      answer(response, callback, 404, "text/plain", "paths are /state and /metrics");
    }
  }

  private static String metrics(PrometheusRegistry registry) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory", e);
    }
    return out.toString(StandardCharsets.UTF_8);
  }

  static void answer(Response response, Callback callback, int status, String type, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
    response.write(true, ByteBuffer.wrap(bytes), callback);
  }

  /** Answers requests that the HTTP library refuses. */
  private static final class Malformed implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      int status = response.getStatus();
      int known = status >= 400 ? status : HttpStatus.BAD_REQUEST_400;
      answer(response, callback, known, "text/plain", HttpStatus.getMessage(known));
      return true;
    }
  }

  /** Applies the caller limits of the document in force. */
  void applyLimits() {
    DocumentIndex index = state.document();
    if (index == null) {
      return;
    }
    CallerLimits limits = index.document.limits();
    callersHttp.setRequestHeaderSize(limits.maxHeaderBytes());
    int late = headerTimeout.check(callers.getConnectedEndPoints(), limits.headerTimeoutMillis());
    if (late > 0) {
      state.events.log(SteeringEvent.HEADER_TIMEOUT, late, limits.headerTimeoutMillis());
    }
    long wanted = limits.idleTimeoutMillis() + IDLE_MARGIN_MILLIS;
    if (wanted != idleMillis) {
      idleMillis = wanted;
      callers.setIdleTimeout(wanted);
      for (EndPoint endPoint : callers.getConnectedEndPoints()) {
        endPoint.setIdleTimeout(wanted);
      }
    }
  }

  int runningRequests() {
    return context.running.get();
  }

  /** Refuses new requests as not run and accepts no connections. */
  void refuseNewRequests() {
    context.refusing = true;
    callers.shutdown();
  }

  /**
   * Waits until no request runs.
   *
   * @param millis the longest time to wait
   */
  void awaitIdle(long millis) throws InterruptedException {
    long end = state.clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (runningRequests() > 0 && end - state.clock.nanoTime() > 0) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  @Override
  public void close() throws Exception {
    server.stop();
    pool.close();
    timer.stop();
    threads.stop();
  }
}
