package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that ends early but looks complete to the caller. */
class IncompleteResponseTest {

  private static final int BODY_BYTES = 100_000;

  /** Long enough for the first bytes to reach the caller on a busy machine. */
  private static final int TIMEOUT_MILLIS = 1_500;

  /** How a response ends before its last byte. */
  private enum End {
    TARGET_CLOSES,
    TARGET_RESETS,
    DEADLINE_PASSES,
    GATEWAY_CLOSES
  }

  /** How a caller of HTTP/1 asks for a response. */
  private enum Caller {
    HTTP_1_0("HTTP/1.0", "", false),
    HTTP_1_0_KEEP_ALIVE("HTTP/1.0", "Connection: keep-alive\r\n", false),
    HTTP_1_1_CLOSE("HTTP/1.1", "Connection: close\r\n", false),
    HTTP_1_1_TO_LEAVING_HOST("HTTP/1.1", "", true),
    HTTP_1_1("HTTP/1.1", "", false);

    private final String version;
    private final String field;
    private final boolean hostLeaves;

    Caller(String version, String field, boolean hostLeaves) {
      this.version = version;
      this.field = field;
      this.hostLeaves = hostLeaves;
    }

    String request() {
      return "GET /proofs/1 "
          + version
          + "\r\nHost: a\r\nAuthorization: Bearer "
          + Fakes.KEY
          + "\r\nVerbenahatch-Deadline-Millis: "
          + TIMEOUT_MILLIS
          + "\r\n"
          + field
          + "\r\n";
    }
  }

  private final CountDownLatch firstBytesRead = new CountDownLatch(1);
  private final CountDownLatch testEnded = new CountDownLatch(1);
  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    testEnded.countDown();
    gateway.close();
  }

  static List<Arguments> endsAndCallers() {
    List<Arguments> cases = new ArrayList<>();
    for (End end : End.values()) {
      for (Caller caller : Caller.values()) {
        cases.add(Arguments.of(end, caller));
      }
    }
    return cases;
  }

  private ScriptedTarget streamingTarget(End end) throws IOException {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          ScriptedTarget.write(
              socket, head(requestHead) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(BODY_BYTES));
          ScriptedTarget.await(firstBytesRead);
          if (end == End.DEADLINE_PASSES || end == End.GATEWAY_CLOSES) {
            ScriptedTarget.await(testEnded);
          } else if (end == End.TARGET_RESETS) {
            socket.setSoLinger(true, 0);
          }
          return false;
        });
  }

  private static String head(String requestHead) {
    return "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: "
        + ScriptedTarget.header(requestHead, "verbenahatch-request-id")
        + "\r\n";
  }

  private static String chunk(int bytes) {
    return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
  }

  /** The caller took the part for the whole if the connection ended in order without a length. */
  @ParameterizedTest
  @MethodSource("endsAndCallers")
  void partOfChunkedResponseDoesNotLookComplete(End end, Caller caller) throws Exception {
    gateway.target(streamingTarget(end), "dakar");
    if (caller.hostLeaves) {
      gateway.server.beginDrain();
    }
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      String head = raw.send(caller.request()).readUntil("\r\n\r\n");
      assertTrue(head.startsWith("HTTP/1.1 200"), head);
      assertTrue(raw.socket().getInputStream().read() >= 0);
      firstBytesRead.countDown();
      if (end == End.GATEWAY_CLOSES) {
        gateway.server.close();
      }
      RawCaller.Received received = raw.readToEnd(head);
      assertFalse(received.looksComplete(), received.body().length + " bytes after " + head);
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void partOfResponseOverHttp2IsReset(End end) throws Exception {
    gateway.target(streamingTarget(end), "dakar");
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    HttpResponse<InputStream> response =
        http2.send(
            gateway
                .keyed("/proofs/1")
                .header(HeaderNames.DEADLINE, Integer.toString(TIMEOUT_MILLIS))
                .build(),
            BodyHandlers.ofInputStream());
    assertEquals(200, response.statusCode());
    InputStream body = response.body();
    assertTrue(body.read() >= 0);
    firstBytesRead.countDown();
    if (end == End.GATEWAY_CLOSES) {
      gateway.server.close();
    }
    assertThrows(IOException.class, body::readAllBytes);
  }

  /** A connection that is reset after its last byte loses what the caller has not read yet. */
  @ParameterizedTest
  @EnumSource(Caller.class)
  void wholeResponseIsReadAfterItsConnectionWasClosed(Caller caller) throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(
                    socket,
                    head(requestHead)
                        + "Transfer-Encoding: chunked\r\n\r\n"
                        + chunk(BODY_BYTES)
                        + chunk(BODY_BYTES)
                        + "0\r\n\r\n")),
        "dakar");
    if (caller.hostLeaves) {
      gateway.server.beginDrain();
    }
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      String head = raw.send(caller.request()).readUntil("\r\n\r\n");
      GatewayFixture.awaitCondition(() -> gateway.server.inFlight() == 0);
      raw.socket().shutdownOutput();
      RawCaller.Received received = raw.readToEnd(head);
      assertTrue(received.looksComplete(), received.body().length + " bytes after " + head);
      long bytes =
          new String(received.body(), StandardCharsets.ISO_8859_1)
              .chars()
              .filter(c -> c == 'x')
              .count();
      assertEquals(2 * BODY_BYTES, bytes);
    }
  }

  /** A response that only the end of the connection delimits cannot be told from a part of it. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n\r\nxx",
        "HTTP/1.0 200 OK\r\n\r\nxx",
        "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nxx",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n2\r\nxx\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\nxx",
        "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nxx",
        "HTTP/1.1 205 OK\r\nTransfer-Encoding: gzip\r\n\r\nxx"
      })
  void targetResponseWithoutKnownEndIsNotPassedOn(String response) throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              ScriptedTarget.write(socket, response);
              return false;
            }),
        "dakar");
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      String head = raw.send(Caller.HTTP_1_1.request()).readUntil("\r\n\r\n");
      if (head.startsWith("HTTP/1.1 502")) {
        return;
      }
      RawCaller.Received received = raw.readToEnd(head);
      assertTrue(received.isChunked() || head.contains("Content-Length: 4"), head);
      assertFalse(
          received.isChunked() && received.looksComplete(), received.body().length + " " + head);
    }
  }

  /** The end of these responses is known without a length. */
  @ParameterizedTest
  @ValueSource(ints = {204, 304})
  void responseWithoutBodyIsPassedOn(int status) throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(socket, "HTTP/1.1 " + status + " X\r\n\r\n")),
        "dakar");
    for (Caller caller : List.of(Caller.HTTP_1_0, Caller.HTTP_1_1_CLOSE)) {
      try (RawCaller raw = new RawCaller(gateway.server.port())) {
        String head = raw.send(caller.request()).readUntil("\r\n\r\n");
        assertTrue(head.startsWith("HTTP/1.1 " + status), head);
        RawCaller.Received received = raw.readToEnd(head);
        assertFalse(received.isChunked() || received.reset(), head);
        assertEquals(0, received.body().length);
      }
    }
  }
}
