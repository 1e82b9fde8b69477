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
 * Calls the administration API of the first host that can be reached.
 *
 * <p>A call goes to a further host only if no byte of it left for the one before, so that a change
 * is never sent twice.
 */
final class AdminClient implements AutoCloseable {

  private static final int THREADS = 4;
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private final HttpClient client = new HttpClient();
  private final List<String> servers;
  private final String token;
  private final Duration timeout;

  /**
   * Starts the client.
   *
   * @param servers base URLs in order of preference
   * @param token the operator's credential, empty for calls that need none
   * @param timeout the longest time of one call
   */
  AdminClient(List<String> servers, String token, Duration timeout) {
    this.servers = servers;
    this.token = token;
    this.timeout = timeout;
    QueuedThreadPool threads = new QueuedThreadPool(THREADS, 1);
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setConnectTimeout(timeout.toMillis());
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("HTTP client does not start", e);
    }
  }

  Reply send(ApiCall call) {
    StringBuilder reasons = new StringBuilder();
    for (String server : servers) {
      Reply reply = sendTo(server, call);
      if (!(reply instanceof Reply.Unreachable failed)) {
        return reply;
      }
      reasons.append(reasons.isEmpty() ? "" : "; ").append(server).append(": ");
      reasons.append(failed.reason());
      if (failed.maybeSent()) {
        return new Reply.Unreachable(reasons.toString(), true);
      }
    }
    return new Reply.Unreachable(reasons.toString(), false);
  }

  private Reply sendTo(String server, ApiCall call) {
    Request request;
    try {
      request = client.newRequest(URI.create(server + call.path())).method(call.method());
    } catch (IllegalArgumentException e) {
      return new Reply.Unreachable("not a URL", false);
    }
    call.query().forEach(request::param);
    if (!token.isEmpty()) {
      request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token));
    }
    if (call.body().length > 0) {
      request.body(new BytesRequestContent("application/json", call.body()));
    }
    long limitMillis = timeout.toMillis() + call.waitMillis();
    request.timeout(limitMillis, TimeUnit.MILLISECONDS);
    AtomicBoolean sent = new AtomicBoolean();
    request.onRequestBegin(begun -> sent.set(true));
    try {
      ContentResponse response =
          new CompletableResponseListener(request, MAX_ANSWER_BYTES).send().get();
      return new Reply.Answered(response.getStatus(), body(response));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply.Unreachable("interrupted", sent.get() && call.isChange());
    } catch (ExecutionException e) {
      boolean timedOut = e.getCause() instanceof TimeoutException;
      String reason = timedOut ? "no answer in " + limitMillis + " ms" : text(e.getCause());
      return new Reply.Unreachable(reason, sent.get() && call.isChange());
    }
  }

  private static String text(@Nullable Throwable cause) {
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
      throw new IllegalStateException("HTTP client does not stop", e);
    }
  }
}
