package verbenahatch.steering;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.http.IdleConnections;
import verbenahatch.http.ProbedConnector;
import verbenahatch.steering.model.TargetRecord;

/**
 * Opens connections to targets.
 *
 * <p>A request that may run once only uses a connection that was idle for a short time at most,
 * because a target may close an idle connection while the request is on its way.
 */
final class TargetPool implements AutoCloseable {

  /** A target in another region answers a connection request in 100 ms; more means it is gone. */
  private static final long CONNECT_TIMEOUT_MILLIS = 700;

  /** Targets close connections that were idle for 10 s; a margin covers the way and slow hosts. */
  private static final long IDLE_MILLIS = 7_000;

  /** Idle time for requests that may run once only. */
  private static final long ONCE_IDLE_MILLIS = 4_500;

  private static final int MAX_CONNECTIONS_PER_TARGET = 64;

  private static final int MAX_QUEUED_PER_TARGET = 64;

  private final HttpClient repeatable;
  private final HttpClient once;

  TargetPool(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
    repeatable = create(executor, scheduler, buffers, "targets", IDLE_MILLIS);
    once = create(executor, scheduler, buffers, "targets-once", ONCE_IDLE_MILLIS);
  }

  private static HttpClient create(
      Executor executor, Scheduler scheduler, ByteBufferPool buffers, String name, long idleMillis)
      throws Exception {
    ProbedConnector connector = new ProbedConnector();
    connector.setSelectors(1);
    connector.setTCPNoDelay(true);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setName(name);
    client.setExecutor(executor);
    client.setScheduler(scheduler);
    client.setByteBufferPool(buffers);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(idleMillis);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_TARGET);
    client.start();
    // The answers of targets pass unchanged: no decoding, no redirects, no authentication.
    client.getContentDecoderFactories().clear();
    client.getProtocolHandlers().clear();
    return client;
  }

  Request newRequest(TargetRecord target, boolean idempotent) {
    return (idempotent ? repeatable : once).newRequest(target.address(), target.port());
  }

  /** Closes the idle connections to a target, which may be as silent as one that timed out. */
  void closeIdle(TargetRecord target) {
    IdleConnections.close(repeatable, target.address(), target.port());
    IdleConnections.close(once, target.address(), target.port());
  }

  @Override
  public void close() throws Exception {
    repeatable.stop();
    once.stop();
  }
}
