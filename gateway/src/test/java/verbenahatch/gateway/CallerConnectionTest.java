package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against faults on connections of callers: request smuggling, requests that go on after the
 * caller disconnected, pipelined responses out of order, and bodies buffered in memory.
 */
class CallerConnectionTest {

  private static final String KEYED = "Host: a\r\nVerbenahatch-Key: " + Fakes.KEY + "\r\n";

  private static final int REQUESTS_PER_CALLER = 2_000;

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  static List<String> ambiguousRequests() {
    return List.of(
        "PUT /proofs HTTP/1.1\r\n" + KEYED + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "PUT /proofs HTTP/1.1\r\n"
            + KEYED
            + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "PUT /proofs HTTP/1.1\r\n" + KEYED + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "PUT /proofs HTTP/1.1\r\n"
            + KEYED
            + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "GET /proofs HTTP/1.1\r\n" + KEYED + "X-A: 1\r\n folded\r\n\r\n",
        "GET http://b/proofs HTTP/1.1\r\n" + KEYED + "\r\n",
        "GET /proofs HTTP/1.1\r\nHost: a\r\n" + KEYED + "\r\n",
        "GET /proofs HTTP/1.1\r\n" + KEYED + "X-A : 1\r\n\r\n",
        "GET /proofs/%2e%2e/orders HTTP/1.1\r\n" + KEYED + "\r\n",
        "PUT /proofs HTTP/1.1\r\n" + KEYED + "Content-Length: +1\r\n\r\na");
  }

  @ParameterizedTest
  @MethodSource("ambiguousRequests")
  void refusesAmbiguousRequests(String request) throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingWith("x");
    gateway.target(target, "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      String response = caller.send(request).readUntil("\r\n\r\n");
      assertTrue(response.startsWith("HTTP/1.1 4"), response);
      assertTrue(response.contains("Verbenahatch-Outcome: not-run"), response);
    }
    assertEquals(0, target.requestHeads.size());
  }

  private ScriptedTarget unresponsiveTarget(CountDownLatch arrived, CountDownLatch closed)
      throws Exception {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          arrived.countDown();
          if (socket.getInputStream().read() < 0) {
            closed.countDown();
          }
          return false;
        });
  }

  @Test
  void callerDisconnectCancelsRequestAtTarget() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    gateway.target(unresponsiveTarget(arrived, closed), "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      caller.send("GET /proofs HTTP/1.1\r\n" + KEYED + "\r\n");
      assertTrue(arrived.await(5, TimeUnit.SECONDS));
    }
    // The route's own timeout would end the attempt after one second, so the limit is lower.
    assertTrue(closed.await(700, TimeUnit.MILLISECONDS));
    assertEquals(0, gateway.releases.failures.get());
  }

  @Test
  void http2StreamResetCancelsRequestAtTarget() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    gateway.target(unresponsiveTarget(arrived, closed), "dakar");
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    http2.send(gateway.request("/v1/entry").build(), BodyHandlers.discarding());
    CompletableFuture<HttpResponse<Void>> running =
        http2.sendAsync(gateway.keyed("/proofs").build(), BodyHandlers.discarding());
    assertTrue(arrived.await(5, TimeUnit.SECONDS));
    running.cancel(true);
    assertTrue(closed.await(700, TimeUnit.MILLISECONDS));
  }

  @Test
  void pipelinedRequestsGetResponsesInOrder() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(
                    socket,
                    ScriptedTarget.okResponse(
                        requestHead, requestHead.substring(4, requestHead.indexOf(" H"))))),
        "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < 20; i++) {
        requests
            .append("GET /proofs/")
            .append(i)
            .append(" HTTP/1.1\r\n")
            .append(KEYED)
            .append("\r\n");
      }
      caller.send(requests.toString());
      for (int i = 0; i < 20; i++) {
        String response = caller.readUntil("/proofs/" + i);
        assertTrue(response.endsWith("/proofs/" + i), response);
      }
    }
  }

  @Test
  void requestThatArrivesWhileResponseEndsIsReadCompletely() throws Exception {
    gateway.target(ScriptedTarget.respondingWith("done"), "dakar");
    gateway.target(ScriptedTarget.respondingWith("done"), "dakar");
    List<CompletableFuture<Integer>> callers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      callers.add(CompletableFuture.supplyAsync(this::callRepeatedly));
    }
    for (CompletableFuture<Integer> caller : callers) {
      assertEquals(REQUESTS_PER_CALLER, caller.get(60, TimeUnit.SECONDS));
    }
  }

  private int callRepeatedly() {
    int served = 0;
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
        String response =
            caller.send("GET /proofs HTTP/1.1\r\n" + KEYED + "\r\n").readUntil("done");
        served += response.startsWith("HTTP/1.1 200") ? 1 : 0;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return served;
  }

  @Test
  void trailersAreForwardedWithoutKey() throws Exception {
    StringBuilder receivedBody = new StringBuilder();
    CountDownLatch read = new CountDownLatch(1);
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              while (receivedBody.indexOf("0\r\n") < 0
                  || !receivedBody.toString().endsWith("\r\n\r\n")) {
                receivedBody.append((char) socket.getInputStream().read());
              }
              read.countDown();
              return ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "ok"));
            },
            false),
        "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      caller.send(
          "PUT /proofs HTTP/1.1\r\n"
              + KEYED
              + "Transfer-Encoding: chunked\r\nTrailer: X-Sum, X-Copy\r\n\r\n"
              + "3\r\nabc\r\n0\r\nX-Sum: 7\r\nX-Copy: "
              + Fakes.KEY
              + "\r\n\r\n");
      assertTrue(caller.readUntil("ok").startsWith("HTTP/1.1 200"));
    }
    assertTrue(read.await(5, TimeUnit.SECONDS));
    assertTrue(receivedBody.toString().contains("X-Sum: 7"), receivedBody.toString());
    assertFalse(receivedBody.toString().contains("vh_"), receivedBody.toString());
  }

  @Test
  void slowTargetAppliesBackPressureToLargeUpload() throws Exception {
    CountDownLatch respond = new CountDownLatch(1);
    int size = 48 * 1024 * 1024;
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              ScriptedTarget.await(respond);
              socket.getInputStream().skipNBytes(size);
              return ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "stored"));
            },
            false),
        "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port());
        Socket socket = caller.socket()) {
      caller.send("PUT /proofs HTTP/1.1\r\n" + KEYED + "Content-Length: " + size + "\r\n\r\n");
      CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> write(socket, size));
      // Without back-pressure, the gateway would read the whole body although the target reads
      // nothing.
      boolean bodyConsumed = true;
      try {
        writing.get(500, TimeUnit.MILLISECONDS);
      } catch (java.util.concurrent.TimeoutException e) {
        bodyConsumed = false;
      }
      assertFalse(
          bodyConsumed, "the gateway read the whole body although the target read none of it");
      respond.countDown();
      writing.get(10, TimeUnit.SECONDS);
      assertTrue(caller.readUntil("stored").endsWith("stored"));
    }
  }

  private static void write(Socket socket, int size) {
    byte[] chunk = new byte[64 * 1024];
    try {
      for (int sent = 0; sent < size; sent += chunk.length) {
        socket.getOutputStream().write(chunk);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void requestsBeyondSlotsWaitAndAreServed() throws Exception {
    CountDownLatch respond = new CountDownLatch(1);
    CountDownLatch slotsTaken = new CountDownLatch(3);
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) -> {
              slotsTaken.countDown();
              ScriptedTarget.await(respond);
              return ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "done"));
            }),
        "dakar");
    List<CompletableFuture<HttpResponse<String>>> pendingResponses = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      pendingResponses.add(
          gateway.http.sendAsync(
              gateway.keyed("/orders").POST(BodyPublishers.noBody()).build(),
              BodyHandlers.ofString()));
    }
    assertTrue(slotsTaken.await(5, TimeUnit.SECONDS));
    respond.countDown();
    for (CompletableFuture<HttpResponse<String>> pendingResponse : pendingResponses) {
      assertEquals("done", pendingResponse.get(5, TimeUnit.SECONDS).body());
    }
    GatewayFixture.awaitCondition(() -> gateway.limits.inRegions.get() == 0);
  }
}
