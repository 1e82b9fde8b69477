package verbenahatch.admin;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import verbenahatch.admin.testing.SingleHost;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Json;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

/** Starts a host with an in-memory store and sends requests to its administration API. */
final class AdminApiFixture implements AutoCloseable {

  record ApiResponse(int status, JsonNode body) {}

  private static final long TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();

  final InMemoryObjectStore store = new InMemoryObjectStore();
  final SingleHost host;
  private final Closer closer = new Closer();
  private final HttpClient client = new HttpClient();

  AdminApiFixture() throws Exception {
    this(StoreFaults.NONE);
  }

  AdminApiFixture(StoreFaults faults) throws Exception {
    store.setFaults(faults);
    closer.register(store);
    host = closer.register(new SingleHost(store));
    client.start();
    closer.register(client::stop);
  }

  ApiResponse send(String method, String path, String body) throws Exception {
    return send(method, path, body, SingleHost.TOKEN);
  }

  ApiResponse send(String method, String path, String body, String token) throws Exception {
    Request request = client.newRequest(host.url() + path).method(method);
    request.headers(headers -> headers.put("Authorization", "Bearer " + token));
    if (!body.isEmpty()) {
      request.body(new StringRequestContent(body));
    }
    ContentResponse response = request.send();
    byte[] content = response.getContent();
    boolean isJson = response.getMediaType().equals("application/json");
    return new ApiResponse(
        response.getStatus(),
        Json.readTree(isJson ? content : Json.write(response.getContentAsString())));
  }

  ApiResponse get(String path) throws Exception {
    return send("GET", path, "");
  }

  /** Waits up to 20 s until a condition holds that background work of the host brings about. */
  void await(Callable<Boolean> condition) throws Exception {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.call()) {
      assertTrue(
          System.nanoTime() - deadlineNanos < 0,
          "condition not met within " + TIMEOUT_NANOS + " ns");
      Thread.onSpinWait();
    }
  }

  void awaitReady() throws Exception {
    await(() -> get("/readyz").status() == 200);
  }

  /** Stores the example document and waits until it is in force. */
  void putExample() throws Exception {
    send("PUT", "/v1/environments/production?seen=0", example());
    awaitReady();
  }

  static String example() throws IOException {
    Path file = Path.of("..", "examples", "ndiaye", "production.json");
    return Files.readString(file, StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
