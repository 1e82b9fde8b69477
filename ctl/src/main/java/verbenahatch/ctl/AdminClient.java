package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;

/**
 * Sends requests to the administration API of the first host that can be reached.
 *
 * <p>A change is sent to the next host only if no byte of it was sent to the previous one, so that
 * it is never sent twice.
 */
final class AdminClient implements AutoCloseable {

  private static final int MAX_THREADS = 4;
  private static final int MAX_RESPONSE_BYTES = 64 << 20;

  private final HttpClient client = new HttpClient();
  private final List<String> servers;
  private final String token;
  private final Duration timeout;

  /**
   * Starts the client.
   *
   * @param servers base URLs of the hosts in order of preference
   * @param token the operator's bearer token, empty for requests that need none
   * @param timeout the timeout of connecting and of each request, without the time that the host
   *     may wait
   */
  AdminClient(List<String> servers, String token, Duration timeout) {
    this.servers = servers;
    this.token = token;
    this.timeout = timeout;
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 1);
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setConnectTimeout(timeout.toMillis());
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client cannot start", e);
    }
  }

  ApiResult send(ApiRequest apiRequest) {
    StringBuilder reasons = new StringBuilder();
    for (String server : servers) {
      ApiResult result = sendTo(server, apiRequest);
      if (!(result instanceof ApiResult.Unreachable unreachable)) {
        return result;
      }
      reasons.append(reasons.isEmpty() ? "" : "; ").append(server).append(": ");
      reasons.append(unreachable.reason());
      if (unreachable.maybeSent()) {
        return new ApiResult.Unreachable(reasons.toString(), true);
      }
    }
    return new ApiResult.Unreachable(reasons.toString(), false);
  }

  private ApiResult sendTo(String server, ApiRequest apiRequest) {
    Request request;
    try {
      request =
          client.newRequest(URI.create(server + apiRequest.path())).method(apiRequest.method());
    } catch (IllegalArgumentException e) {
      return new ApiResult.Unreachable("not a URL", false);
    }
    apiRequest.query().forEach(request::param);
    if (!token.isEmpty()) {
      request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token));
    }
    if (apiRequest.body().length > 0) {
      request.body(new BytesRequestContent("application/json", apiRequest.body()));
    }
    long timeoutMillis = timeout.toMillis() + apiRequest.waitMillis();
    request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    AtomicBoolean sent = new AtomicBoolean();
    request.onRequestBegin(started -> sent.set(true));
    try {
      ContentResponse response =
          new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send().get();
      return new ApiResult.Responded(response.getStatus(), body(response));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new ApiResult.Unreachable("interrupted", sent.get() && apiRequest.isChange());
    } catch (ExecutionException e) {
      boolean timedOut = e.getCause() instanceof TimeoutException;
      String reason =
          timedOut ? "no response within " + timeoutMillis + " ms" : message(e.getCause());
      return new ApiResult.Unreachable(reason, sent.get() && apiRequest.isChange());
    }
  }

  private static String message(@Nullable Throwable cause) {
    return cause == null || cause.getMessage() == null ? String.valueOf(cause) : cause.getMessage();
  }

  private static JsonNode body(ContentResponse response) {
    try {
      boolean isJson = "application/json".equals(response.getMediaType());
      return Json.readTree(
          isJson ? response.getContent() : Json.write(response.getContentAsString()));
    } catch (JsonException e) {
      return TextNode.valueOf(response.getContentAsString());
    }
  }

  @Override
  public void close() {
    try {
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client cannot stop", e);
    }
  }
}
