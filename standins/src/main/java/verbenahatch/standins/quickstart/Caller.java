package verbenahatch.standins.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
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

/** Sends requests to entry hosts as a caller does. */
final class Caller implements AutoCloseable {

  private static final long TIMEOUT_SECONDS = 10;

  private final HttpClient client = new HttpClient();

  Caller() throws Exception {
    client.start();
  }

  /**
   * Holds what a caller saw.
   *
   * @param status the HTTP status, 0 if there was no complete answer
   * @param outcome the header that names the outcome of a refusal, empty if there was none
   * @param body the body as JSON, null if it is not JSON
   */
  record Answer(int status, String outcome, @Nullable JsonNode body) {

    boolean isServed() {
      return status == 200;
    }

    String text(String field) {
      return body == null ? "" : body.path(field).asText();
    }
  }

  Answer get(String url, @Nullable String key) throws InterruptedException {
    return send(client.newRequest(url), key);
  }

  Answer post(String url, @Nullable String key, String submission) throws InterruptedException {
    Request request =
        client
            .newRequest(url)
            .method("POST")
            .headers(headers -> headers.put("Idempotency-Key", submission))
            .body(new BytesRequestContent("text/plain", new byte[] {'x'}));
    return send(request, key);
  }

  private static Answer send(Request request, @Nullable String key) throws InterruptedException {
    if (key != null) {
      request.headers(headers -> headers.put("Authorization", "Bearer " + key));
    }
    try {
      return answer(request.timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).send());
    } catch (TimeoutException | ExecutionException e) {
      return new Answer(0, "", null);
    }
  }

  private static Answer answer(ContentResponse response) {
    String outcome = response.getHeaders().get("Verbenahatch-Outcome");
    return new Answer(
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
