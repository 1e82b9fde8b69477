package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an upload that ends early but looks complete to the target. */
class IncompleteRequestTest {

  private final CompletableFuture<String> received = new CompletableFuture<>();
  private final CountDownLatch bodyStarted = new CountDownLatch(1);
  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              received.complete(readToEnd(socket.getInputStream()));
              return false;
            },
            false),
        "dakar");
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private String readToEnd(InputStream in) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      for (int next = in.read(); next >= 0; next = in.read()) {
        body.write(next);
        if (body.size() == 10) {
          bodyStarted.countDown();
        }
      }
    } catch (IOException e) {
      body.writeBytes("reset".getBytes(StandardCharsets.US_ASCII));
    }
    return body.toString(StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1, 'Content-Length: 100\r\n\r\n', '', false",
    "HTTP/1.1, 'Content-Length: 100\r\n\r\n', '', true",
    "HTTP/1.0, 'Content-Length: 100\r\n\r\n', '', false",
    "HTTP/1.1, 'Transfer-Encoding: chunked\r\n\r\n14\r\n', '\r\n', false",
    "HTTP/1.1, 'Transfer-Encoding: chunked\r\n\r\n14\r\n', '\r\n', true",
    "HTTP/1.1, 'Transfer-Encoding: chunked\r\n\r\n28\r\n', '', false"
  })
  void partOfUploadDoesNotLookComplete(String version, String framing, String end, boolean reset)
      throws Exception {
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      raw.send("POST /orders/1 " + version + "\r\nHost: a\r\nAuthorization: Bearer " + Fakes.KEY);
      raw.send("\r\n" + framing + "x".repeat(20) + end);
      bodyStarted.await(5, TimeUnit.SECONDS);
      if (reset) {
        raw.socket().setSoLinger(true, 0);
      }
    }
    String body = received.get(5, TimeUnit.SECONDS);
    assertFalse(body.contains("0\r\n\r\n"), body);
    assertEquals(20, body.chars().filter(c -> c == 'x').count(), body);
  }
}
