package verbenahatch.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.io.ArrayByteBufferPool;
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

/** Listens for callers on HTTP/1.1 and HTTP/2 in clear text. */
public final class GatewayServer implements AutoCloseable {

  /** Nothing on the data path blocks, so a few threads per core are enough. */
  private static final int MAX_THREADS = 64;

  /**
   * Time until every host has dropped a leaving host from its advice: a write of the members and
   * two pulses of 300 ms, with room for a slow store.
   */
  private static final long LEAVE_SPREAD_MILLIS = 2_000;

  /** A caller that sends or takes nothing for this time loses its connection. */
  private static final long CALLER_IDLE_MILLIS = 60_000;

  /** Waiting requests search again after this time even if this host frees no place. */
  private static final long TICK_MILLIS = 20;

  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Memory that idle buffers may keep, in bytes, on the heap and outside it. */
  private static final long MAX_POOLED_BYTES = 16L * 1024 * 1024;

  private final GatewayContext context;
  private final Server server;
  private final QueuedThreadPool threads;
  private final Scheduler timer = new ScheduledExecutorScheduler("gateway-timer", true);
  private final ServerConnector connector;
  private final TargetClient client;
  private final Submissions submissions;
  private final DataPath path;
  private final EntryAdvice advice;
  private final LoadReports reports;
  private volatile boolean closed;
  private volatile boolean refusing;

  /**
   * Starts listening.
   *
   * @param context what the data path uses
   * @param metrics the registry of metrics
   * @throws Exception if the endpoint cannot be opened
   */
  public GatewayServer(GatewayContext context, PrometheusRegistry metrics) throws Exception {
    this.context = context;
    threads = new QueuedThreadPool(MAX_THREADS);
    threads.setName("gateway");
    threads.setDaemon(true);
    threads.start();
    timer.start();
    ArrayByteBufferPool buffers =
        new ArrayByteBufferPool(-1, -1, -1, -1, MAX_POOLED_BYTES, MAX_POOLED_BYTES);
    server = new Server(threads, timer, buffers);
    HttpConfiguration http = configuration();
    connector =
        new ServerConnector(
            server, 1, 2, new HttpConnectionFactory(http), new HTTP2CServerConnectionFactory(http));
    connector.setHost(context.settings().callers().address());
    connector.setPort(context.settings().callers().port());
    connector.setIdleTimeout(CALLER_IDLE_MILLIS);
    server.addConnector(connector);
    client = new TargetClient(threads, timer, buffers);
    client.keepMessagesUnchanged();
    submissions = new Submissions(context);
    path = new DataPath(context, client, timer, submissions, metrics);
    advice = new EntryAdvice(context);
    server.setHandler(new Entrance());
    server.setErrorHandler(new MalformedRequests());
    server.start();
    reports = new LoadReports(context, path.targets(), client);
    timer.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    context.events().log(GatewayEvent.LISTENING, context.settings().callers().address(), port());
  }

  private static HttpConfiguration configuration() {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setHttpCompliance(HttpCompliance.STRICT);
    http.setUriCompliance(UriCompliance.DEFAULT);
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setResponseHeaderSize(MAX_HEADER_BYTES);
    return http;
  }

  /** Sends each request to the advice or to the data path. */
  private final class Entrance extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      RunningRequests running = path.running();
      // Counted before the check, so that a stop either refuses a request or waits for it.
      running.enter();
      try {
        dispatch(request, response, callback);
      } finally {
        running.leave();
      }
      return true;
    }

    private void dispatch(Request request, Response response, Callback callback) {
      if (advice.isLeaving() && isHttp11(request)) {
        // A kept connection could carry a request while the server closes it.
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
      }
      if (refusing) {
        Refusals.write(response, callback, Refusal.HOST_STOPPING, 0);
        return;
      }
      String canonicalPath = request.getHttpURI().getCanonicalPath();
      if (EntryAdvice.PATH.equals(canonicalPath)) {
        advice.handle(request, response, callback);
      } else if (Submissions.TICKET_PATH.equals(canonicalPath)) {
        submissions.handle(request, response, callback);
      } else {
        path.handle(request, response, callback);
      }
    }

    private static boolean isHttp11(Request request) {
      return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
    }
  }

  /** Answers requests that the HTTP library refuses. */
  private static final class MalformedRequests implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      boolean malformed = response.getStatus() < 500;
      Refusals.write(response, callback, malformed ? Refusal.BAD_REQUEST : Refusal.INTERNAL, 0);
      return true;
    }
  }

  /**
   * Returns the port in use.
   *
   * @return a TCP port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Returns how many requests run.
   *
   * @return the number
   */
  public int running() {
    return path.running().count();
  }

  /** Drops this host from the entry advice of all hosts; requests are still served. */
  public void beginDrain() {
    advice.leave();
    context.fleet().markLeaving();
    context.events().log(GatewayEvent.LEAVING, running());
  }

  /**
   * Tells whether this host has begun to stop.
   *
   * @return true after {@link #beginDrain()}
   */
  public boolean isDraining() {
    return advice.isLeaving();
  }

  /**
   * Refuses new requests as not run, stops accepting connections and waits for running requests.
   *
   * @param limit the longest time to wait
   * @throws InterruptedException if the thread is interrupted
   */
  public void finishDrain(Duration limit) throws InterruptedException {
    refusing = true;
    connector.shutdown();
    try {
      path.running().whenIdle().get(limit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      // The drain limit is over; the rest is cut off and counted in the event.
    }
    context.events().log(GatewayEvent.DRAINED, running());
  }

  private void tick() {
    if (closed) {
      return;
    }
    try {
      path.tick();
      reports.tick();
      submissions.purge();
    } finally {
      timer.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Stops gracefully: leaves the advice, serves until cached advice lapses, waits for running
   * requests, and closes.
   *
   * @throws Exception if a part fails to close
   */
  public void stopGracefully() throws Exception {
    beginDrain();
    CountDownLatch lapsed = new CountDownLatch(1);
    long waitMillis =
        TimeUnit.SECONDS.toMillis(context.settings().adviceSeconds()) + LEAVE_SPREAD_MILLIS;
    timer.schedule(lapsed::countDown, waitMillis, TimeUnit.MILLISECONDS);
    lapsed.await();
    finishDrain(Duration.ofSeconds(context.settings().drainSeconds()));
    close();
  }

  @Override
  public void close() throws Exception {
    closed = true;
    // Server and client share threads and timer, so neither stops them.
    server.stop();
    client.close();
    submissions.close();
    timer.stop();
    threads.stop();
  }
}
