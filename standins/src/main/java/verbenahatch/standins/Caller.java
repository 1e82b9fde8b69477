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

/** Sends requests to hosts as callers and operators do. Thread-safe. */
public final class Caller implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 10;

  /** Test callers open many connections at once. */
  private static final int CONNECTIONS = 256;

  private final HttpClient client = new HttpClient();

  /**
   * Starts the caller.
   *
   * @throws Exception if the HTTP client cannot start
   */
  public Caller() throws Exception {
    client.setMaxConnectionsPerDestination(CONNECTIONS);
    client.start();
  }

  /**
   * Holds what a caller saw.
   *
   * @param status the HTTP status, 0 if there was no complete answer
   * @param outcome the header that names the outcome of a refusal, empty if there was none
   * @param body the body as JSON, null if it is not JSON
   */
  public record Response(int status, String outcome, @Nullable JsonNode body) {

    /**
     * Tells whether a target answered.
     *
     * @return true for status 200
     */
    public boolean isServed() {
      return status == 200;
    }

    /**
     * Returns a field of the body.
     *
     * @param field the name
     * @return the value as text, empty if there is none
     */
    public String text(String field) {
      return body == null ? "" : body.path(field).asText();
    }

    /**
     * Returns a field of the first element of a list in the body.
     *
     * @param list the name of the list
     * @param field the name of the field
     * @return the value as text, empty if there is none
     */
    public String textOfFirst(String list, String field) {
      return body == null ? "" : body.path(list).path(0).path(field).asText();
    }
  }

  /**
   * Reads a resource.
   *
   * @param url the URL
   * @param key the key to present, null for none
   * @return what came back
   * @throws InterruptedException if the thread is interrupted
   */
  public Response get(String url, @Nullable String key) throws InterruptedException {
    return send("GET", url, credentials(key), null);
  }

  /**
   * Sends a request.
   *
   * @param method the HTTP method
   * @param url the URL
   * @param headers the header fields
   * @param body the body, null for none
   * @return what came back
   * @throws InterruptedException if the thread is interrupted
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
      return answer(request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).send());
    } catch (TimeoutException | ExecutionException e) {
      return new Response(0, "", null);
    }
  }

  /**
   * Makes the header that presents a key or an operator's token.
   *
   * @param key the key, null for none
   * @return the header fields, possibly none
   */
  public static Map<String, String> credentials(@Nullable String key) {
    return key == null ? Map.of() : Map.of("Authorization", "Bearer " + key);
  }

  private static Response answer(ContentResponse response) {
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
