package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.limits.Admission;
import verbenahatch.model.EnvironmentDocument;

/**
 * Guards against requests that are forwarded although they must be refused, keys that reach a
 * target, and outcomes that report a request as not run although it may have run.
 */
class GatewayServerTest {

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  @Test
  void forwardsKeyedRequestWithoutKey() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingWith("proof");
    gateway.target(target, "dakar");
    HttpResponse<String> response =
        gateway.send(
            gateway
                .keyed("/proofs/1?a=1&k=" + Fakes.KEY + "&b=%76h_" + Fakes.KEY.substring(3))
                .header("Cookie", "a=b; k=" + Fakes.KEY)
                .header("X-Copy", "x" + Fakes.KEY)
                .header("X-Kept", "yes"));
    assertEquals(200, response.statusCode());
    assertEquals("proof", response.body());
    assertEquals("run", GatewayFixture.outcome(response));
    String requestHead = target.requestHeads.get(0);
    assertFalse(requestHead.contains("0123456789abcdef"), requestHead);
    assertTrue(requestHead.startsWith("GET /proofs/1?a=1 HTTP/1.1"), requestHead);
    assertEquals("a=b", ScriptedTarget.header(requestHead, "cookie"));
    assertEquals("yes", ScriptedTarget.header(requestHead, "x-kept"));
    assertEquals("ateliers", ScriptedTarget.header(requestHead, "verbenahatch-workspace"));
    assertFalse(ScriptedTarget.header(requestHead, "verbenahatch-deadline-millis").isEmpty());
  }

  @Test
  void servesHttp2InClearText() throws Exception {
    gateway.target(ScriptedTarget.respondingWith("proof"), "dakar");
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response =
          http2.send(gateway.keyed("/proofs/1").build(), BodyHandlers.ofString());
      assertEquals("proof", response.body());
      assertEquals(HttpClient.Version.HTTP_2, response.version());
    }
  }

  @Test
  void refusedRequestsDoNotReachTarget() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingWith("x");
    gateway.target(target, "dakar");
    assertEquals("no-route", reason("/nowhere"));
    assertEquals("no-route", reason("/proofsx"));
    assertEquals("key-missing", GatewayFixture.reason(gateway.send(gateway.request("/proofs"))));
    assertEquals("key-in-path", reason("/proofs/" + Fakes.KEY));
    assertEquals("method-not-allowed", reason("/orders"));
    gateway.limits.admission = new Admission.OverLimit(1_500);
    HttpResponse<String> overLimitResponse = gateway.send(gateway.keyed("/proofs"));
    assertEquals(429, overLimitResponse.statusCode());
    assertEquals("2", overLimitResponse.headers().firstValue("Retry-After").orElse(""));
    gateway.limits.admission = new Admission.Admitted();
    gateway.keys.keys.put(Fakes.KEY, new KeyCheck.Withdrawn());
    assertEquals("key-withdrawn", reason("/proofs"));
    gateway.keys.keys.put(Fakes.KEY, new KeyCheck.NotFresh());
    assertEquals("host-not-fresh", reason("/proofs"));
    assertEquals(0, target.requestHeads.size());
  }

  private String reason(String path) throws Exception {
    return GatewayFixture.reason(gateway.send(gateway.keyed(path)));
  }

  @Test
  void keyWithdrawnWhileRequestWaitsIsRefusedBeforeFirstByte() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingWith("x");
    gateway.target(target, "dakar");
    gateway.keys.beforeRecheck = () -> gateway.keys.keys.put(Fakes.KEY, new KeyCheck.Withdrawn());
    HttpResponse<String> response = gateway.send(gateway.keyed("/proofs"));
    assertEquals("key-withdrawn", GatewayFixture.reason(response));
    assertEquals("not-run", GatewayFixture.outcome(response));
    assertEquals(0, target.requestHeads.size());
    assertEquals(0, gateway.limits.inRegions.get());
  }

  @Test
  void onlyIdempotentRequestIsRetriedAtAnotherTarget() throws Exception {
    gateway.target(new ScriptedTarget((requestHead, socket) -> false), "dakar");
    ScriptedTarget healthyTarget = ScriptedTarget.respondingWith("ok");
    gateway.target(healthyTarget, "thies");
    assertEquals("ok", gateway.send(gateway.keyed("/proofs")).body());
    HttpResponse<String> order =
        gateway.send(gateway.keyed("/orders").POST(BodyPublishers.ofString("x")));
    assertEquals("target-failed", GatewayFixture.reason(order));
    assertEquals("unknown", GatewayFixture.outcome(order));
    HttpResponse<String> empty =
        gateway.send(gateway.keyed("/orders").POST(BodyPublishers.noBody()));
    assertEquals("target-failed", GatewayFixture.reason(empty));
    assertEquals(1, healthyTarget.requestHeads.size());
  }

  @Test
  void requestIsRetriedWhenConnectionCannotBeOpened() throws Exception {
    ScriptedTarget closedTarget = ScriptedTarget.respondingWith("x");
    gateway.target(closedTarget, "dakar");
    closedTarget.close();
    gateway.target(ScriptedTarget.respondingWith("ok"), "thies");
    HttpResponse<String> order =
        gateway.send(gateway.keyed("/orders").POST(BodyPublishers.ofString("x")));
    assertEquals("ok", order.body());
  }

  @Test
  void truncatedResponseFailsAtCaller() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              String whole = ScriptedTarget.okResponse(requestHead, "x".repeat(200_000));
              ScriptedTarget.write(socket, whole.substring(0, 100_000));
              return false;
            }),
        "dakar");
    assertThrows(IOException.class, () -> gateway.send(gateway.keyed("/proofs")));
  }

  @Test
  void truncatedChunkedResponseFailsAtCaller() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              String id = ScriptedTarget.header(requestHead, "verbenahatch-request-id");
              ScriptedTarget.write(
                  socket,
                  "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: "
                      + id
                      + "\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n"
                      + "x".repeat(100_000)
                      + "\r\n");
              return false;
            }),
        "dakar");
    assertThrows(IOException.class, () -> gateway.send(gateway.keyed("/proofs")));
  }

  @Test
  void responseToAnotherRequestIsNotForwarded() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              String other = "GET / HTTP/1.1\r\nverbenahatch-request-id: other\r\n\r\n";
              return ScriptedTarget.write(socket, ScriptedTarget.okResponse(other, "other"));
            }),
        "dakar");
    HttpResponse<String> response = gateway.send(gateway.keyed("/proofs"));
    assertEquals("answer-mismatched", GatewayFixture.reason(response));
  }

  @Test
  void requestToUnresponsiveTargetEndsAtDeadlineAndConnectionIsClosed() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              if (socket.getInputStream().read() < 0) {
                closed.countDown();
              }
              return false;
            }),
        "dakar");
    HttpResponse<String> response =
        gateway.send(
            gateway
                .keyed("/orders")
                .header(HeaderNames.DEADLINE, "200")
                .POST(BodyPublishers.ofString("x")));
    assertEquals("deadline-exceeded", GatewayFixture.reason(response));
    assertEquals("unknown", GatewayFixture.outcome(response));
    assertTrue(closed.await(5, TimeUnit.SECONDS));
  }

  @Test
  void shedRequestIsRefusedAsNotRun() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 503 X\r\nVerbenahatch-Shed: not-run\r\nContent-Length: 0\r\n\r\n")),
        "dakar");
    HttpResponse<String> order =
        gateway.send(gateway.keyed("/orders").POST(BodyPublishers.ofString("x")));
    assertEquals("target-shed", GatewayFixture.reason(order));
    assertEquals("not-run", GatewayFixture.outcome(order));
    assertEquals(0, gateway.releases.failures.get());
  }

  @Test
  void shedRetryDoesNotHideThatFirstAttemptMayHaveRun() throws Exception {
    gateway.target(new ScriptedTarget((requestHead, socket) -> false), "dakar");
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 503 X\r\nVerbenahatch-Shed: not-run\r\nContent-Length: 0\r\n\r\n")),
        "thies");
    HttpResponse<String> response = gateway.send(gateway.keyed("/proofs"));
    assertEquals("unknown", GatewayFixture.outcome(response));
  }

  @Test
  void requestSpillsOverFromFullRegion() throws Exception {
    gateway.target(ScriptedTarget.respondingWith("near"), "dakar");
    gateway.target(ScriptedTarget.respondingWith("far"), "thies");
    gateway.limits.fullRegions = Set.of("dakar");
    assertEquals("far", gateway.send(gateway.keyed("/proofs")).body());
  }

  @Test
  void hostThatIsNotFreshServesOnlyOpenRoutesInItsRegion() throws Exception {
    gateway.target(ScriptedTarget.respondingWith("far"), "thies");
    gateway.fleet.fresh = false;
    assertEquals("no-capacity", GatewayFixture.reason(gateway.send(gateway.request("/public/a"))));
    gateway.target(ScriptedTarget.respondingWith("near"), "dakar");
    assertEquals("near", gateway.send(gateway.request("/public/a")).body());
    assertEquals("host-not-fresh", reason("/proofs"));
  }

  @Test
  void entryAdviceExcludesDrainingHostThatStillServes() throws Exception {
    gateway.target(ScriptedTarget.respondingWith("x"), "dakar");
    assertTrue(gateway.send(gateway.request("/v1/entry")).body().contains("entry-1"));
    gateway.server.beginDrain();
    assertFalse(gateway.send(gateway.request("/v1/entry")).body().contains("entry-1"));
    assertEquals(200, gateway.send(gateway.keyed("/proofs")).statusCode());
  }

  @Test
  void entryAdviceListsHostsNearestToClientBlockFirst() throws Exception {
    gateway.fleet.members =
        List.of(gateway.fleet.self(), Fakes.FakeFleet.member("entry-2", "thies", 2));
    gateway.clients = List.of(new EnvironmentDocument.ClientBlock("127.0.0.0/8", "thies"));
    gateway.target(ScriptedTarget.respondingWith("x"), "dakar");
    String advice = gateway.send(gateway.request("/v1/entry")).body();
    assertTrue(advice.indexOf("entry-2") < advice.indexOf("entry-1"), advice);
    gateway.fleet.unreachable.add("entry-2-1");
    assertFalse(gateway.send(gateway.request("/v1/entry")).body().contains("entry-2"));
  }

  @Test
  void gracefulStopServesUntilAdviceExpiresAndCompletesRequestsInFlight() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch respond = new CountDownLatch(1);
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              if (requestHead.contains("/slow")) {
                arrived.countDown();
                ScriptedTarget.await(respond);
              }
              return ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "done"));
            }),
        "dakar");
    final CompletableFuture<HttpResponse<String>> slow =
        gateway.http.sendAsync(gateway.keyed("/proofs/slow").build(), BodyHandlers.ofString());
    assertTrue(arrived.await(5, TimeUnit.SECONDS));
    final CompletableFuture<Void> stopping =
        CompletableFuture.runAsync(
            () -> {
              try {
                gateway.server.stopGracefully();
              } catch (Exception e) {
                throw new IllegalStateException(e);
              }
            });
    GatewayFixture.awaitCondition(gateway.server::isDraining);
    assertEquals("done", gateway.send(gateway.keyed("/proofs/new")).body());
    respond.countDown();
    assertEquals("done", slow.get(5, TimeUnit.SECONDS).body());
    stopping.get(10, TimeUnit.SECONDS);
  }
}
