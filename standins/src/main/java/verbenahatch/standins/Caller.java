package verbenahatch.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;

/**
 * Sends HTTP requests to hosts as callers and operators do. Thread-safe.
 *
 * <p>A request that has no complete response within 10 s yields a {@link Response} with status 0.
 */
public final class Caller implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 10;

  /** Large, since tests open many connections at the same time. */
  private static final int MAX_CONNECTIONS = 256;

  private final HttpClient client = new HttpClient();

  /**
   * Creates a caller and starts its HTTP client.
   *
   * @throws Exception if the HTTP client cannot start
   */
  public Caller() throws Exception {
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.start();
  }

  /**
   * Holds a response as the caller received it.
   *
   * @param status the HTTP status, 0 if no complete response was received
   * @param outcome the value of the {@code Verbenahatch-Outcome} header, which names the outcome of
   *     a refusal; empty if it is absent
   * @param body the body as JSON, null if it is not JSON
   */
  public record Response(int status, String outcome, @Nullable JsonNode body) {

    /**
     * Returns whether a target served the request.
     *
     * @return true if the status is 200
     */
    public boolean isServed() {
      return status == 200;
    }

    /**
     * Returns a field of the body as text.
     *
     * @param field the name of the field
     * @return the value as text, empty if the body is not JSON or has no such field
     */
    public String text(String field) {
      return body == null ? "" : body.path(field).asText();
    }

    /**
     * Returns a field of the first element of a list in the body as text.
     *
     * @param list the name of the list
     * @param field the name of the field in the element
     * @return the value as text, empty if the body is not JSON or has no such element or field
     */
    public String textOfFirst(String list, String field) {
      return body == null ? "" : body.path(list).path(0).path(field).asText();
    }
  }

  /**
   * Sends a GET request.
   *
   * @param url the URL
   * @param key the key or operator's token to send, null for none
   * @return the response, with status 0 if none was complete within 10 s
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Response get(String url, @Nullable String key) throws InterruptedException {
    return send("GET", url, credentials(key), null);
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param method the HTTP method
   * @param url the URL
   * @param headers the header fields by name
   * @param body the JSON body, null for none
   * @return the response, with status 0 if none was complete within 10 s
   * @throws InterruptedException if the thread is interrupted while it waits
   */
  public Response send(
      String method, String url, Map<String, String> headers, @Nullable String body)
      throws InterruptedException {
    Request request = client.newRequest(url).method(method);
    request.headers(fields -> headers.forEach(fields::put));
    if (body != null) {
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      request.body(new BytesRequestContent("application/json", content));
    }
    try {
      return toResponse(request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).send());
    } catch (TimeoutException | ExecutionException e) {
      return new Response(0, "", null);
    }
  }

  /**
   * Returns the header field that carries a key or an operator's token.
   *
   * @param key the key or token, null for none
   * @return the {@code Authorization} header field, empty if the key is null
   */
  public static Map<String, String> credentials(@Nullable String key) {
    return key == null ? Map.of() : Map.of("Authorization", "Bearer " + key);
  }

  private static Response toResponse(ContentResponse response) {
    String outcome = response.getHeaders().get("Verbenahatch-Outcome");
    return new Response(
        response.getStatus(), outcome == null ? "" : outcome, parse(response.getContent()));
  }

  private static @Nullable JsonNode parse(byte[] body) {
    try {
      return Json.readTree(body);
    } catch (JsonException e) {
      return null;
    }
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }
}
