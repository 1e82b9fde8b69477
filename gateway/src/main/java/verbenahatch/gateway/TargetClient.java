package verbenahatch.gateway;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.http.IdleConnections;

/**
 * Opens connections to targets.
 *
 * <p>Idempotent requests share pooled connections. Other requests and retries use a connection of
 * their own, because a pooled connection can be silent or hold the answer to an earlier request.
 */
final class TargetClient implements AutoCloseable {

  /** A connection older than this is closed after its request, so that load follows changes. */
  static final long CONNECTION_MAX_AGE_MILLIS = 60_000;

  /** An idle connection is closed after this time, in milliseconds. */
  static final long CONNECTION_IDLE_MILLIS = 15_000;

  /**
   * Loopback and regional links answer within 100 ms; a target that takes longer is unreachable.
   */
  static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Upper bound per target; the places at the target are the effective bound. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 330;

  private static final int MAX_QUEUED = 1_024;

  private final HttpClient pooled;
  private final HttpClient single;

  TargetClient(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
    pooled = create(executor, scheduler, buffers, "targets-pooled");
    single = create(executor, scheduler, buffers, "targets-single");
    pooled.start();
    single.start();
  }

  private static HttpClient create(
      Executor executor, Scheduler scheduler, ByteBufferPool buffers, String name) {
    ClientConnector connector = new ClientConnector();
    connector.setSelectors(1);
    HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
    transport.setConnectionPoolFactory(
        destination -> {
          DuplexConnectionPool pool =
              new DuplexConnectionPool(destination, MAX_CONNECTIONS_PER_TARGET);
          pool.setMaxDuration(CONNECTION_MAX_AGE_MILLIS);
          return pool;
        });
    HttpClient client = new HttpClient(transport);
    client.setName(name);
    client.setExecutor(executor);
    client.setScheduler(scheduler);
    client.setByteBufferPool(buffers);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(CONNECTION_IDLE_MILLIS);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
    return client;
  }

  /**
   * Returns the client for a request.
   *
   * @param own whether the request needs a connection of its own
   * @return a started client
   */
  HttpClient client(boolean own) {
    return own ? single : pooled;
  }

  /** Removes what would decode, redirect, answer or authenticate on the caller's behalf. */
  void keepMessagesUnchanged() {
    for (HttpClient client : new HttpClient[] {pooled, single}) {
      client.getContentDecoderFactories().clear();
      client.getProtocolHandlers().clear();
    }
  }

  /**
   * Closes the idle connections to a target, which may be as silent as the one that timed out.
   *
   * @param address the IP number
   * @param port the TCP port
   * @return how many were closed
   */
  int closeIdle(String address, int port) {
    return IdleConnections.close(pooled, address, port);
  }

  @Override
  public void close() throws Exception {
    pooled.stop();
    single.stop();
  }
}
