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
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.http.WatchedConnectionFactory;

/** HTTP server for callers, on HTTP/1.1 and HTTP/2 in clear text. */
public final class GatewayServer implements AutoCloseable {

  /** Nothing on the data path blocks, so a few threads per core are enough. */
  private static final int MAX_THREADS = 64;

  /**
   * Time until every host has removed a leaving host from its advice: one write of the member list
   * and two heartbeats of 300 ms, with a margin for a slow store.
   */
  private static final long DRAIN_PROPAGATION_MILLIS = 2_000;

  /** A connection on which the caller neither sends nor reads is closed after this time. */
  private static final long CALLER_IDLE_MILLIS = 60_000;

  /** Waiting requests search again after this time even if this host frees no slot. */
  private static final long TICK_MILLIS = 20;

  private static final int MAX_HEADER_BYTES = 16 * 1024;

  /** Maximum memory of pooled idle buffers, in bytes, each for the heap and for direct memory. */
  private static final long MAX_POOLED_BYTES = 16L * 1024 * 1024;

  private final GatewayContext context;
  private final Server server;
  private final QueuedThreadPool threads;
  private final Scheduler timer = new ScheduledExecutorScheduler("gateway-timer", true);
  private final ServerConnector connector;
  private final TargetClient client;
  private final Submissions submissions;
  private final DataPath dataPath;
  private final EntryAdvice advice;
  private final LoadReports loadReports;
  private volatile boolean closed;
  private volatile boolean refusingRequests;

  /**
   * Opens the endpoint and starts to serve callers.
   *
   * @param context what the data path uses from other modules
   * @param metrics the registry for the metrics of the gateway
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
    HttpConfiguration httpConfiguration = configuration();
    connector =
        new ServerConnector(
            server,
            1,
            2,
            new WatchedConnectionFactory(httpConfiguration),
            new HTTP2CServerConnectionFactory(httpConfiguration));
    connector.setHost(context.settings().callers().address());
    connector.setPort(context.settings().callers().port());
    connector.setIdleTimeout(CALLER_IDLE_MILLIS);
    server.addConnector(connector);
    client = new TargetClient(threads, timer, buffers);
    client.disableMessageProcessing();
    submissions = new Submissions(context);
    dataPath = new DataPath(context, client, timer, submissions, metrics);
    advice = new EntryAdvice(context);
    server.setHandler(new RequestDispatcher());
    server.setErrorHandler(new MalformedRequestHandler());
    server.start();
    loadReports = new LoadReports(context, dataPath.targets(), client);
    timer.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    context.events().log(GatewayEvent.LISTENING, context.settings().callers().address(), port());
  }

  private static HttpConfiguration configuration() {
    HttpConfiguration httpConfiguration = new HttpConfiguration();
    httpConfiguration.setSendServerVersion(false);
    httpConfiguration.setSendDateHeader(false);
    httpConfiguration.setHttpCompliance(HttpCompliance.STRICT);
    httpConfiguration.setUriCompliance(UriCompliance.DEFAULT);
    httpConfiguration.setRequestHeaderSize(MAX_HEADER_BYTES);
    httpConfiguration.setResponseHeaderSize(MAX_HEADER_BYTES);
    return httpConfiguration;
  }

  /** Dispatches each request to the entry advice, to the ticket endpoint or to the data path. */
  private final class RequestDispatcher extends Handler.Abstract.NonBlocking {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      InFlightRequests inFlight = dataPath.inFlight();
      // Counted before the check, so that a stop either refuses the request or waits for it.
      inFlight.increment();
      try {
        dispatch(request, response, callback);
      } finally {
        inFlight.decrement();
      }
      return true;
    }

    private void dispatch(Request request, Response response, Callback callback) {
      if (advice.isThisHostExcluded() && isHttp11(request)) {
        // On a kept-alive connection, a request could arrive while the server closes it.
        response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
      }
      if (refusingRequests) {
        RefusalWriter.write(response, callback, Refusal.HOST_STOPPING, 0);
        return;
      }
      String canonicalPath = request.getHttpURI().getCanonicalPath();
      if (EntryAdvice.PATH.equals(canonicalPath)) {
        advice.handle(request, response, callback);
      } else if (Submissions.TICKET_PATH.equals(canonicalPath)) {
        submissions.handle(request, response, callback);
      } else {
        dataPath.handle(request, response, callback);
      }
    }

    private static boolean isHttp11(Request request) {
      return request.getConnectionMetaData().getHttpVersion() == HttpVersion.HTTP_1_1;
    }
  }

  /** Writes refusals for requests that the HTTP library rejects. */
  private static final class MalformedRequestHandler implements Request.Handler {
    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      boolean malformed = response.getStatus() < 500;
      RefusalWriter.write(
          response, callback, malformed ? Refusal.BAD_REQUEST : Refusal.INTERNAL, 0);
      return true;
    }
  }

  /**
   * Returns the TCP port on which the server listens.
   *
   * @return the port, from 1 to 65535
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number, 0 or more
   */
  public int inFlight() {
    return dataPath.inFlight().count();
  }

  /** Removes this host from the entry advice of all hosts; requests are still served. */
  public void beginDrain() {
    advice.excludeThisHost();
    context.fleet().markLeaving();
    context.events().log(GatewayEvent.DRAIN_STARTED, inFlight());
  }

  /**
   * Returns whether this host has begun to drain.
   *
   * @return true after {@link #beginDrain()}
   */
  public boolean isDraining() {
    return advice.isThisHostExcluded();
  }

  /**
   * Refuses new requests as not run, and further attempts of others that may not end in time, stops
   * accepting connections and waits for requests in flight.
   *
   * @param maxWait the maximum time to wait
   * @throws InterruptedException if the thread is interrupted
   */
  public void finishDrain(Duration maxWait) throws InterruptedException {
    dataPath.drain(new DrainPlan(context.clock().nanoTime() + maxWait.toNanos()));
    refusingRequests = true;
    connector.shutdown();
    try {
      dataPath.inFlight().whenIdle().get(maxWait.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      // The maximum wait is over; the remaining requests are aborted and counted in the event.
    }
    context.events().log(GatewayEvent.DRAINED, inFlight());
  }

  private void tick() {
    if (closed) {
      return;
    }
    try {
      dataPath.tick();
      loadReports.tick();
      submissions.removeExpired();
    } finally {
      timer.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Stops gracefully: leaves the entry advice, serves until cached advice has expired, waits for
   * requests in flight, and closes.
   *
   * @throws Exception if the server or a client fails to close
   */
  public void stopGracefully() throws Exception {
    beginDrain();
    CountDownLatch adviceExpired = new CountDownLatch(1);
    long waitMillis =
        TimeUnit.SECONDS.toMillis(context.settings().adviceSeconds()) + DRAIN_PROPAGATION_MILLIS;
    timer.schedule(adviceExpired::countDown, waitMillis, TimeUnit.MILLISECONDS);
    adviceExpired.await();
    finishDrain(Duration.ofSeconds(context.settings().drainSeconds()));
    close();
  }

  @Override
  public void close() throws Exception {
    closed = true;
    // Server and client share the threads and the timer, so they are stopped here and not by them.
    server.stop();
    client.close();
    submissions.close();
    timer.stop();
    threads.stop();
  }
}
