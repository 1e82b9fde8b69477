package verbenahatch.standins.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
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
import verbenahatch.kernel.Json;

/** Guards the faults and the log that other tests take as the truth. */
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

  private HttpRequest.Builder work(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + target.port() + path))
        .header("Verbenahatch-Request-Id", "r1")
        .header("Verbenahatch-Submission", "s1");
  }

  private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), BodyHandlers.ofString());
  }

  private static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + 5_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "condition did not become true in 5 s");
      Thread.onSpinWait();
    }
  }

  @Test
  void logsWhatItRanAndRepeatsTheId() throws Exception {
    HttpResponse<String> response = send(work("/a?size=100000"));
    assertEquals("r1", response.headers().firstValue("Verbenahatch-Request-Id").orElse(""));
    assertTrue(response.body().length() > 100_000);
    assertEquals(1, target.log().runs().get("s1"));
    URI log = URI.create("http://127.0.0.1:" + target.controlPort() + "/runs");
    assertEquals("{\"s1\":1}", send(HttpRequest.newBuilder(log)).body());
  }

  @Test
  void shedsWhenFullAndWhenDrainingWithoutRunning() throws Exception {
    target.behave(Behaviour.healthy(60_000));
    final CompletableFuture<?> running =
        http.sendAsync(work("/slow").build(), BodyHandlers.ofString());
    until(() -> target.slots().isFull());
    HttpResponse<String> shed = send(work("/a"));
    assertEquals(503, shed.statusCode());
    assertEquals("not-run", shed.headers().firstValue("Verbenahatch-Shed").orElse(""));
    target.behave(Behaviour.healthy(0).withDraining(true));
    assertEquals(503, send(work("/a")).statusCode());
    assertEquals(1, target.log().counts().ran());
    assertEquals(1, target.log().counts().arrivedDraining());
    assertFalse(running.isDone());
  }

  @Test
  void noticesThatTheOtherSideIsGone() throws Exception {
    target.behave(Behaviour.healthy(60_000));
    try (Socket socket = new Socket("127.0.0.1", target.port())) {
      String head = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      until(() -> target.log().heads().size() == 1);
    }
    until(() -> target.log().counts().cancelled() == 1);
    assertEquals(0, target.slots().inFlight());
  }

  @Test
  void showsFaultsOnTheChosenRouteOnly() throws Exception {
    Behaviour bad =
        Behaviour.healthy(0)
            .withFaults(
                new FaultRule(FaultRule.Kind.FAIL, "/fail", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.TRUNCATED, "/cut", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.LOST, "/lost", 1, 0, 0, 0),
                new FaultRule(FaultRule.Kind.CROSSED, "/crossed", 1, 0, 0, 0));
    URI control = URI.create("http://127.0.0.1:" + target.controlPort() + "/behaviour");
    HttpRequest.Builder put =
        HttpRequest.newBuilder(control).PUT(BodyPublishers.ofByteArray(Json.write(bad)));
    assertEquals(200, send(put).statusCode());
    assertEquals(500, send(work("/fail")).statusCode());
    assertEquals(200, send(work("/good")).statusCode());
    assertThrows(IOException.class, () -> send(work("/cut").POST(BodyPublishers.ofString("x"))));
    assertThrows(IOException.class, () -> send(work("/lost").POST(BodyPublishers.ofString("x"))));
    HttpResponse<String> crossed = send(work("/crossed"));
    assertFalse(crossed.headers().firstValue("Verbenahatch-Request-Id").orElse("").contains("r2"));
  }

  @Test
  void reportsCanLagAndMislead() throws Exception {
    target.behave(new Behaviour(60_000, 0, 0, 1, false, 200, 0, 0.001, false, java.util.List.of()));
    final CompletableFuture<?> running =
        http.sendAsync(work("/slow").build(), BodyHandlers.ofString());
    until(() -> target.slots().isFull());
    assertEquals("{\"inFlight\":0,\"slots\":1}", send(work("/load")).body());
    assertEquals(200, send(work("/health")).statusCode());
    assertFalse(running.isDone());
  }
}
