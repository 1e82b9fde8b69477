package verbenahatch.steering;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.http.IdleConnections;
import verbenahatch.http.InterimResponses;
import verbenahatch.http.KeepAliveConnector;
import verbenahatch.http.KeepAliveTransport;
import verbenahatch.http.VerbatimRequest;
import verbenahatch.steering.model.TargetRecord;

/**
 * Pools connections to targets.
 *
 * <p>A request that is not idempotent only uses connections that were idle for a short time,
 * because a target may close an idle connection while the request is in transit.
 */
final class TargetPool implements AutoCloseable {

  /** Connecting to another region takes 100 ms; after a longer time the target is unreachable. */
  private static final long CONNECT_TIMEOUT_MILLIS = 700;

  /** Targets close connections idle for 10 s; the margin covers network delay and slow hosts. */
  private static final long IDEMPOTENT_IDLE_MILLIS = 7_000;

  /** Longest idle time of connections for requests that are not idempotent. */
  private static final long NON_IDEMPOTENT_IDLE_MILLIS = 4_500;

  /** Longest head or trailer of a response in bytes; a faulty target may send one without end. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  private static final int MAX_CONNECTIONS_PER_TARGET = 64;

  private static final int MAX_QUEUED_PER_TARGET = 64;

  private final HttpClient idempotentClient;
  private final HttpClient nonIdempotentClient;

  TargetPool(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
    idempotentClient = create(executor, scheduler, buffers, "targets", IDEMPOTENT_IDLE_MILLIS);
    nonIdempotentClient =
        create(executor, scheduler, buffers, "targets-once", NON_IDEMPOTENT_IDLE_MILLIS);
  }

  private static HttpClient create(
      Executor executor, Scheduler scheduler, ByteBufferPool buffers, String name, long idleMillis)
      throws Exception {
    KeepAliveConnector connector = new KeepAliveConnector();
    connector.setSelectors(1);
    connector.setTCPNoDelay(true);
    HttpClient client = new HttpClient(new KeepAliveTransport(connector));
    client.setName(name);
    client.setExecutor(executor);
    client.setScheduler(scheduler);
    client.setByteBufferPool(buffers);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(idleMillis);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_TARGET);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_TARGET);
    client.start();
    // Responses of targets are forwarded unchanged: no decoding, redirects or authentication.
    client.getContentDecoderFactories().clear();
    InterimResponses.replaceHandlers(client);
    return client;
  }

  /**
   * Creates a request.
   *
   * @param target the target
   * @param idempotent whether the request may run more than once
   * @param pathAndQuery the path and query, which are sent as they are
   */
  Request newRequest(TargetRecord target, boolean idempotent, String pathAndQuery) {
    HttpClient client = idempotent ? idempotentClient : nonIdempotentClient;
    return VerbatimRequest.create(client, target.address(), target.port(), pathAndQuery);
  }

  /** Closes the idle connections to a target, as they may be broken like one that timed out. */
  void closeIdle(TargetRecord target) {
    IdleConnections.close(idempotentClient, target.address(), target.port());
    IdleConnections.close(nonIdempotentClient, target.address(), target.port());
  }

  @Override
  public void close() throws Exception {
    idempotentClient.stop();
    nonIdempotentClient.stop();
  }
}
