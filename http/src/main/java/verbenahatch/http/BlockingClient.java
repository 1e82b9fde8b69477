package verbenahatch.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Makes HTTP calls that block for a bounded time.
 *
 * <p>Thread-safe. After a call without an answer the idle connections to its address are closed,
 * because they may be as silent as the one that was used.
 */
public final class BlockingClient implements AutoCloseable {

  private static final int MAX_THREADS = 8;

  /** Tells how a call ended. */
  public sealed interface Outcome {

    /**
     * An answer came.
     *
     * @param status the HTTP status
     * @param body the body, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Received(int status, byte[] body) implements Outcome {}

    /**
     * No answer came; the call may have been executed or may be later.
     *
     * @param reason what happened
     */
    record NoResponse(String reason) implements Outcome {}
  }

  private final HttpClient client;
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
  private final long connectMillis;
  private final int maxAnswerBytes;

  /**
   * Starts a client.
   *
   * @param name the name of its threads
   * @param connectMillis the longest time to open a connection
   * @param idleMillis the time for which an idle connection is kept
   * @param maxAnswerBytes the longest answer that is read
   * @throws Exception if it cannot start
   */
  public BlockingClient(String name, long connectMillis, long idleMillis, int maxAnswerBytes)
      throws Exception {
    this.connectMillis = connectMillis;
    this.maxAnswerBytes = maxAnswerBytes;
    KeepAliveConnector connector = new KeepAliveConnector();
    connector.setSelectors(1);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    threads.setName(name);
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setConnectTimeout(connectMillis);
    client.setIdleTimeout(idleMillis);
    client.setUserAgentField(null);
    client.start();
    client.getContentDecoderFactories().clear();
  }

  /**
   * Begins a request.
   *
   * @param address the IP number
   * @param port the TCP port
   * @return a request for {@link #call}
   */
  public Request newRequest(String address, int port) {
    return client.newRequest(address, port);
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param request a request of this client
   * @param millis the longest time to wait once a connection is open
   * @return the answer, or why there is none; an interrupt stays set on the thread
   */
  public Outcome call(Request request, long millis) {
    request.timeout(millis, TimeUnit.MILLISECONDS).idleTimeout(millis, TimeUnit.MILLISECONDS);
    CompletableFuture<ContentResponse> answer =
        new CompletableResponseListener(request, maxAnswerBytes).send();
    try {
      ContentResponse response = answer.get(millis + connectMillis, TimeUnit.MILLISECONDS);
      byte[] content = response.getContent();
      return new Outcome.Received(response.getStatus(), content == null ? new byte[0] : content);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      request.abort(e);
      return new Outcome.NoResponse("interrupted");
    } catch (TimeoutException e) {
      request.abort(e);
      return lost(request, e);
    } catch (ExecutionException e) {
      return lost(request, e.getCause() == null ? e : e.getCause());
    }
  }

  private Outcome lost(Request request, Throwable cause) {
    IdleConnections.close(client, request.getHost(), request.getPort());
    return new Outcome.NoResponse(cause.toString());
  }

  @Override
  public void close() throws Exception {
    client.stop();
    threads.stop();
  }
}
