package verbenahatch.gateway;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.DuplexConnectionPool;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.client.transport.HttpResponse;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.Scheduler;
import verbenahatch.http.IdleConnections;
import verbenahatch.http.InterimResponses;

/**
 * HTTP clients for requests to targets.
 *
 * <p>First attempts of idempotent requests share pooled connections. Other requests and retries use
 * a connection of their own, because a pooled connection can be unresponsive or hold the response
 * to an earlier request.
 */
final class TargetClient implements AutoCloseable {

  /** A connection older than this is closed after its request, so that load adapts to changes. */
  static final long CONNECTION_MAX_AGE_MILLIS = 60_000;

  /** An idle connection is closed after this time, in milliseconds. */
  static final long CONNECTION_IDLE_MILLIS = 15_000;

  /**
   * Connections on loopback and regional links open within 100 ms; a target that takes longer than
   * this is unreachable.
   */
  static final long CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Upper bound of connections per target; the slots of the target are the effective bound. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 330;

  private static final int MAX_QUEUED = 1_024;

  /** Longest head or trailer of a response in bytes; the library sets no limit by itself. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  private final HttpClient pooled;
  private final HttpClient singleUse;
  private final HttpClient polls;

  TargetClient(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
    pooled = create(executor, scheduler, buffers, "targets-pooled");
    singleUse = create(executor, scheduler, buffers, "targets-single");
    polls = create(executor, scheduler, buffers, "targets-polls");
    pooled.start();
    singleUse.start();
    polls.start();
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
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    return client;
  }

  /**
   * Returns the client for a request.
   *
   * @param ownConnection whether the request needs a connection of its own
   * @return the client, already started
   */
  HttpClient client(boolean ownConnection) {
    return ownConnection ? singleUse : pooled;
  }

  /**
   * Returns the client for polls, which have no request id.
   *
   * <p>They share no connection with requests, because the copy of a response to a poll could be
   * taken for the response to a request.
   */
  HttpClient pollClient() {
    return polls;
  }

  /** Disables the decoding, redirects and authentication of the client library. */
  void disableMessageProcessing() {
    for (HttpClient client : new HttpClient[] {pooled, singleUse, polls}) {
      client.getContentDecoderFactories().clear();
      InterimResponses.replaceHandlers(client);
    }
  }

  /**
   * Closes the connection of a response after it, although the target keeps it open.
   *
   * <p>Without a request id, a copy of the response could be taken for that to the next request.
   *
   * @param response a response whose head was received
   */
  static void closeAfter(Response response) {
    if (response instanceof HttpResponse received) {
      received.headers(fields -> fields.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE));
    }
  }

  /**
   * Closes the idle connections to a target, which may be as unresponsive as the one that timed
   * out.
   *
   * @param address the IP address
   * @param port the TCP port
   * @return the number of closed connections
   */
  int closeIdle(String address, int port) {
    return IdleConnections.close(pooled, address, port);
  }

  @Override
  public void close() throws Exception {
    pooled.stop();
    singleUse.stop();
    polls.stop();
  }
}
