package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a part of a response that a caller takes for complete, because the target sent it
 * at some point of an upload and reset the connection.
 */
class EarlyResponseTest {

  /** Longer than the buffers of the sockets, so that the upload is in progress at the reset. */
  private static final int UPLOAD_BYTES = 8_000_000;

  /** Longer than the timeout of the route, after which the gateway must have ended the stream. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

  private static final String PART = "x".repeat(100_000);

  /** More than the attempts of a test, so that no target is avoided because of its failures. */
  private static final int TARGETS = 12;

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private ScriptedTarget target(int readBytes, String framing) throws IOException {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          if (requestHead.startsWith("GET ")) {
            return ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "ok"));
          }
          socket.getInputStream().skipNBytes(readBytes);
          String id = ScriptedTarget.header(requestHead, "verbenahatch-request-id");
          String head = "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: " + id + "\r\n";
          ScriptedTarget.write(socket, head + framing + PART);
          try {
            // The gateway must have read the bytes before the reset, which would discard them.
            Thread.sleep(50);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          socket.setSoLinger(true, 0);
          return false;
        },
        false);
  }

  @ParameterizedTest
  @CsvSource({
    "0, 'Content-Length: 300000\r\n\r\n'",
    "0, 'Transfer-Encoding: chunked\r\n\r\n186a0\r\n'",
    "0, '\r\n'",
    "4000000, 'Content-Length: 300000\r\n\r\n'",
    "4000000, 'Transfer-Encoding: chunked\r\n\r\n186a0\r\n'",
    "4000000, '\r\n'",
    "8000000, 'Content-Length: 300000\r\n\r\n'",
    "8000000, 'Transfer-Encoding: chunked\r\n\r\n186a0\r\n'",
    "8000000, '\r\n'"
  })
  void partOfEarlyResponseDoesNotLookComplete(int readBytes, String framing) throws Exception {
    for (int i = 0; i < TARGETS; i++) {
      gateway.target(target(readBytes, framing), "dakar");
    }
    List<String> wrong = new ArrayList<>();
    for (String caller : List.of("HTTP/1.0", "HTTP/1.1 close", "HTTP/1.1")) {
      String result = upload(caller);
      if (!result.equals("failed")) {
        wrong.add(caller + ": " + result);
      }
    }
    String result = uploadOverHttp2();
    if (!result.equals("failed")) {
      wrong.add(result);
    }
    assertEquals(List.of(), wrong);
  }

  /** Returns "failed", or what the caller takes for a complete response. */
  private String upload(String caller) throws Exception {
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      String[] parts = caller.split(" ");
      raw.send("POST /orders/1 " + parts[0] + "\r\nHost: a\r\nContent-Length: " + UPLOAD_BYTES);
      raw.send(parts.length > 1 ? "\r\nConnection: close" : "");
      raw.send("\r\nAuthorization: Bearer " + Fakes.KEY + "\r\n\r\n");
      CompletableFuture<Boolean> sending = CompletableFuture.supplyAsync(() -> sendBody(raw));
      String head = raw.readUntil("\r\n\r\n");
      if (!head.startsWith("HTTP/1.1 200")) {
        return head.isEmpty() || head.startsWith("HTTP/1.1 502") ? "failed" : head;
      }
      RawCaller.Received received = raw.readToEnd(head);
      // The system reports a reset once. If the write of the upload meets it, the next read returns
      // the end of input, so a caller must take its failed write for the end of the connection.
      boolean cut = !received.reset() && !received.isChunked() && !sending.get(5, TimeUnit.SECONDS);
      return received.looksComplete() && !cut ? head + received.body().length : "failed";
    } catch (IOException e) {
      return "failed";
    }
  }

  /** Returns whether the whole body was written before the gateway ended the connection. */
  private static boolean sendBody(RawCaller raw) {
    try {
      raw.send("x".repeat(UPLOAD_BYTES));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private String uploadOverHttp2() throws Exception {
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    // The first request of the client is one of HTTP/1.1 that asks for HTTP/2.
    http2.send(gateway.request("/public").build(), HttpResponse.BodyHandlers.discarding());
    try {
      HttpResponse<String> response =
          http2.send(
              gateway
                  .keyed("/orders/1")
                  .POST(BodyPublishers.ofByteArray(new byte[UPLOAD_BYTES]))
                  .timeout(RESPONSE_TIMEOUT)
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      boolean failed = response.statusCode() == 502;
      return failed && response.version() == HttpClient.Version.HTTP_2
          ? "failed"
          : response.version() + " " + response.statusCode() + ", " + response.body().length();
    } catch (HttpTimeoutException e) {
      return "no end within " + RESPONSE_TIMEOUT + ", in flight: " + gateway.server.inFlight();
    } catch (IOException e) {
      return "failed";
    }
  }
}
