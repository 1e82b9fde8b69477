package verbenahatch.http;

import java.io.EOFException;
import java.net.ProtocolException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Sends HTTP requests and blocks for a bounded time until the response arrives.
 *
 * <p>Thread-safe. After a call without a response the idle connections to its address are closed,
 * because they may be as unresponsive as the one that was used.
 */
public final class BlockingClient implements AutoCloseable {

  private static final int MAX_THREADS = 8;

  /** Longest head or trailer of a response in bytes; the library sets no limit by itself. */
  private static final int MAX_RESPONSE_HEAD_BYTES = 64 * 1024;

  /** Describes how a call ended. */
  public sealed interface Outcome {

    /**
     * A complete response was received.
     *
     * @param status the HTTP status code
     * @param fields the header fields
     * @param body the response body, empty if there was none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Received(int status, HttpFields fields, byte[] body) implements Outcome {}

    /**
     * No complete response was received; the server may have executed the request or may still
     * execute it.
     *
     * @param reason a description of the failure, not null
     */
    record NoResponse(String reason) implements Outcome {}
  }

  private final HttpClient client;
  private final QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
  private final long connectMillis;
  private final int maxResponseBytes;

  /**
   * Creates and starts a client.
   *
   * @param name the name of the client's threads
   * @param connectMillis the connect timeout in milliseconds
   * @param idleMillis the time in milliseconds after which an idle connection is closed
   * @param maxResponseBytes the maximum length of a response body in bytes; a longer one is a
   *     failure
   * @throws Exception if the HTTP client cannot start
   */
  public BlockingClient(String name, long connectMillis, long idleMillis, int maxResponseBytes)
      throws Exception {
    this.connectMillis = connectMillis;
    this.maxResponseBytes = maxResponseBytes;
    KeepAliveConnector connector = new KeepAliveConnector();
    connector.setSelectors(1);
    client = new HttpClient(new KeepAliveTransport(connector));
    threads.setName(name);
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setConnectTimeout(connectMillis);
    client.setIdleTimeout(idleMillis);
    client.setUserAgentField(null);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    client.start();
    client.getContentDecoderFactories().clear();
  }

  /**
   * Creates a request without sending it.
   *
   * @param address the IP address of the server
   * @param port the TCP port of the server
   * @return a request to pass to {@link #call}
   */
  public Request newRequest(String address, int port) {
    return client.newRequest(address, port);
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param request a request created by {@link #newRequest}
   * @param timeoutMillis the longest time in milliseconds to wait once a connection is open
   * @return the response, or the reason why there is none; if the thread is interrupted, its
   *     interrupt status stays set
   */
  public Outcome call(Request request, long timeoutMillis) {
    request
        .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
        .idleTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    CompletableFuture<ContentResponse> future =
        new CompletableResponseListener(request, maxResponseBytes).send();
    try {
      ContentResponse response = future.get(timeoutMillis + connectMillis, TimeUnit.MILLISECONDS);
      if (!ResponseStatus.isFinal(response.getStatus())) {
        String reason = ResponseStatus.describeInvalid(response.getStatus());
        return noResponse(request, new ProtocolException(reason));
      }
      if (!isEndKnown(response)) {
        return noResponse(request, new EOFException("response without length and chunks"));
      }
      byte[] content = response.getContent();
      return new Outcome.Received(
          response.getStatus(), response.getHeaders(), content == null ? new byte[0] : content);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      request.abort(e);
      return new Outcome.NoResponse("interrupted");
    } catch (TimeoutException e) {
      request.abort(e);
      return noResponse(request, e);
    } catch (ExecutionException e) {
      return noResponse(request, e.getCause() == null ? e : e.getCause());
    }
  }

  /**
   * Returns whether a response cannot be a part of one.
   *
   * <p>The end of a connection also delimits a response, but a part of a list may be a valid
   * shorter one. Of a response that is not successful only the status counts.
   */
  private static boolean isEndKnown(ContentResponse response) {
    HttpFields fields = response.getHeaders();
    return !HttpStatus.isSuccess(response.getStatus())
        || response.getStatus() == HttpStatus.NO_CONTENT_204
        || fields.contains(HttpHeader.CONTENT_LENGTH)
        || fields.contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
  }

  private Outcome noResponse(Request request, Throwable cause) {
    IdleConnections.close(client, request.getHost(), request.getPort());
    return new Outcome.NoResponse(cause.toString());
  }

  @Override
  public void close() throws Exception {
    client.stop();
    threads.stop();
  }
}
