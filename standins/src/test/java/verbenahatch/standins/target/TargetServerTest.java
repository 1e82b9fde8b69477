package verbenahatch.standins.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.kernel.Json;

/** Guards against a stand-in target whose faults or log, on which other tests rely, are wrong. */
class TargetServerTest {

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private TargetServer target;

  @BeforeEach
  void start() throws Exception {
    TargetOptions options = new TargetOptions("t1", "127.0.0.1", 0, 0, "v1", 1, 20, 0);
    target = new TargetServer(options, Behaviour.healthy(0));
  }

  @AfterEach
  void stop() throws Exception {
    target.close();
  }

  private HttpRequest.Builder requestTo(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + target.port() + path))
        .header("Verbenahatch-Request-Id", "r1")
        .header("Verbenahatch-Submission", "s1");
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), BodyHandlers.ofString());
  }

  private static void awaitCondition(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + 5_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "condition did not become true in 5 s");
      Thread.onSpinWait();
    }
  }

  @Test
  void logsRunAndReturnsRequestId() throws Exception {
    HttpResponse<String> response = send(requestTo("/a?size=100000"));
    assertEquals("r1", response.headers().firstValue("Verbenahatch-Request-Id").orElse(""));
    assertTrue(response.body().length() > 100_000);
    assertEquals(1, target.log().runs().get("s1"));
    URI log = URI.create("http://127.0.0.1:" + target.controlPort() + "/runs");
    assertEquals("{\"s1\":1}", send(HttpRequest.newBuilder(log)).body());
  }

  @Test
  void shedsWhenFullAndWhenDrainingWithoutRunning() throws Exception {
    target.setBehaviour(Behaviour.healthy(60_000));
    final CompletableFuture<?> running =
        http.sendAsync(requestTo("/slow").build(), BodyHandlers.ofString());
    awaitCondition(() -> target.slots().isFull());
    HttpResponse<String> shed = send(requestTo("/a"));
    assertEquals(503, shed.statusCode());
    assertEquals("not-run", shed.headers().firstValue("Verbenahatch-Shed").orElse(""));
    target.setBehaviour(Behaviour.healthy(0).withDraining(true));
    assertEquals(503, send(requestTo("/a")).statusCode());
    assertEquals(1, target.log().counts().ran());
    assertEquals(1, target.log().counts().arrivedDraining());
    assertFalse(running.isDone());
  }

  @Test
  void cancelsRequestWhenCallerDisconnects() throws Exception {
    target.setBehaviour(Behaviour.healthy(60_000));
    try (Socket socket = new Socket("127.0.0.1", target.port())) {
      String head = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      awaitCondition(() -> target.log().heads().size() == 1);
    }
    awaitCondition(() -> target.log().counts().cancelled() == 1);
    assertEquals(0, target.slots().inFlight());
  }

  @Test
  void appliesFaultsToMatchingPathsOnly() throws Exception {
    Behaviour faulty =
        Behaviour.healthy(0)
            .withFaults(
                new FaultRule(FaultRule.Kind.FAIL, "/fail", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.TRUNCATED, "/cut", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.LOST, "/lost", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.CROSSED, "/crossed", 1, 0, 0, 0));
    URI control = URI.create("http://127.0.0.1:" + target.controlPort() + "/behaviour");
    HttpRequest.Builder put =
        HttpRequest.newBuilder(control).PUT(BodyPublishers.ofByteArray(Json.write(faulty)));
    assertEquals(200, send(put).statusCode());
    assertEquals(500, send(requestTo("/fail")).statusCode());
    assertEquals(200, send(requestTo("/good")).statusCode());
    assertThrows(
        IOException.class, () -> send(requestTo("/cut").POST(BodyPublishers.ofString("x"))));
    assertThrows(
        IOException.class, () -> send(requestTo("/lost").POST(BodyPublishers.ofString("x"))));
    HttpResponse<String> crossed = send(requestTo("/crossed"));
    assertFalse(crossed.headers().firstValue("Verbenahatch-Request-Id").orElse("").contains("r2"));
  }

  /** Tests of callers rely on bytes that a correct server never sends. */
  @ParameterizedTest
  @CsvSource({
    "INVALID_STATUS, 'HTTP/1.1 (000|099|600|999) X'",
    "EARLY_RESET, 'HTTP/1.1 200 X'",
  })
  void sendsResponseThatIsNone(FaultRule.Kind kind, String statusLine) throws Exception {
    target.setBehaviour(Behaviour.healthy(0).withFaults(new FaultRule(kind, "/", 1, 0, 0, 0)));
    boolean early = kind == FaultRule.Kind.EARLY_RESET;
    StringBuilder received = new StringBuilder();
    try (Socket socket = new Socket("127.0.0.1", target.port())) {
      socket.setSoTimeout(5_000);
      String head = "PUT /a HTTP/1.1\r\nHost: a\r\nVerbenahatch-Request-Id: r7\r\n";
      String body = "Content-Length: 4\r\n\r\n" + (early ? "x" : "body");
      socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
      for (int next = socket.getInputStream().read();
          next >= 0;
          next = socket.getInputStream().read()) {
        received.append((char) next);
      }
      assertFalse(early, "closed in order");
    } catch (SocketException e) {
      assertTrue(early, e.toString());
    }
    String[] parts = received.toString().split("\r\n\r\n", 2);
    assertTrue(parts[0].split("\r\n", 2)[0].matches(statusLine), parts[0]);
    assertTrue(parts[0].contains("Request-Id: r7"), parts[0]);
    assertEquals(early, !parts[0].contains("Content-Length"), parts[0]);
    assertEquals(early, !parts[1].endsWith("}"), parts[1]);
    assertEquals(1, target.log().counts().ran());
    assertEquals(0, target.slots().inFlight());
  }

  @Test
  void reportsConfiguredLoadAndHealth() throws Exception {
    target.setBehaviour(
        new Behaviour(60_000, 0, 0, 1, false, 200, 0, 0.001, false, java.util.List.of()));
    final CompletableFuture<?> running =
        http.sendAsync(requestTo("/slow").build(), BodyHandlers.ofString());
    awaitCondition(() -> target.slots().isFull());
    assertEquals("{\"inFlight\":0,\"slots\":1}", send(requestTo("/load")).body());
    assertEquals(200, send(requestTo("/health")).statusCode());
    assertFalse(running.isDone());
  }
}
