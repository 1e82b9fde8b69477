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

/** Guards the connection to callers: smuggling, cancellation, pipelining and streaming. */
class CallerConnectionTest {

  private static final String KEYED = "Host: a\r\nVerbenahatch-Key: " + Fakes.KEY + "\r\n";

  private static final int REPEATS = 2_000;

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  static List<String> smuggled() {
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
  @MethodSource("smuggled")
  void refusesRequestsThatTargetCouldReadDifferently(String request) throws Exception {
    ScriptedTarget target = ScriptedTarget.answering("x");
    gateway.target(target, "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      String answer = caller.send(request).readUntil("\r\n\r\n");
      assertTrue(answer.startsWith("HTTP/1.1 4"), answer);
      assertTrue(answer.contains("Verbenahatch-Outcome: not-run"), answer);
    }
    assertEquals(0, target.heads.size());
  }

  private ScriptedTarget waitingTarget(CountDownLatch arrived, CountDownLatch closed)
      throws Exception {
    return new ScriptedTarget(
        (head, socket) -> {
          arrived.countDown();
          if (socket.getInputStream().read() < 0) {
            closed.countDown();
          }
          return false;
        });
  }

  @Test
  void callerThatClosesItsConnectionCancelsTheRequestAtTheTarget() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    gateway.target(waitingTarget(arrived, closed), "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      caller.send("GET /proofs HTTP/1.1\r\n" + KEYED + "\r\n");
      assertTrue(arrived.await(5, TimeUnit.SECONDS));
    }
    // The route's own timeout would end the attempt after one second.
    assertTrue(closed.await(700, TimeUnit.MILLISECONDS));
    assertEquals(0, gateway.releases.failures.get());
  }

  @Test
  void callerOnHttp2ThatResetsItsStreamCancelsTheRequestAtTheTarget() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    gateway.target(waitingTarget(arrived, closed), "dakar");
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    http2.send(gateway.request("/v1/entry").build(), BodyHandlers.discarding());
    CompletableFuture<HttpResponse<Void>> running =
        http2.sendAsync(gateway.keyed("/proofs").build(), BodyHandlers.discarding());
    assertTrue(arrived.await(5, TimeUnit.SECONDS));
    running.cancel(true);
    assertTrue(closed.await(700, TimeUnit.MILLISECONDS));
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    gateway.target(
        new ScriptedTarget(
            (head, socket) ->
                ScriptedTarget.write(
                    socket, ScriptedTarget.ok(head, head.substring(4, head.indexOf(" H"))))),
        "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      StringBuilder all = new StringBuilder();
      for (int i = 0; i < 20; i++) {
        all.append("GET /proofs/").append(i).append(" HTTP/1.1\r\n").append(KEYED).append("\r\n");
      }
      caller.send(all.toString());
      for (int i = 0; i < 20; i++) {
        String answer = caller.readUntil("/proofs/" + i);
        assertTrue(answer.endsWith("/proofs/" + i), answer);
      }
    }
  }

  @Test
  void nextRequestThatComesWhileAnAnswerEndsIsReadWhole() throws Exception {
    gateway.target(ScriptedTarget.answering("done"), "dakar");
    gateway.target(ScriptedTarget.answering("done"), "dakar");
    List<CompletableFuture<Integer>> callers = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      callers.add(CompletableFuture.supplyAsync(this::callRepeatedly));
    }
    for (CompletableFuture<Integer> caller : callers) {
      assertEquals(REPEATS, caller.get(60, TimeUnit.SECONDS));
    }
  }

  private int callRepeatedly() {
    int served = 0;
    try (RawCaller caller = new RawCaller(gateway.server.port())) {
      for (int i = 0; i < REPEATS; i++) {
        String answer = caller.send("GET /proofs HTTP/1.1\r\n" + KEYED + "\r\n").readUntil("done");
        served += answer.startsWith("HTTP/1.1 200") ? 1 : 0;
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return served;
  }

  @Test
  void trailersPassWithoutTheKey() throws Exception {
    StringBuilder seen = new StringBuilder();
    CountDownLatch read = new CountDownLatch(1);
    gateway.target(
        new ScriptedTarget(
            (head, socket) -> {
              while (seen.indexOf("0\r\n") < 0 || !seen.toString().endsWith("\r\n\r\n")) {
                seen.append((char) socket.getInputStream().read());
              }
              read.countDown();
              return ScriptedTarget.write(socket, ScriptedTarget.ok(head, "ok"));
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
    assertTrue(seen.toString().contains("X-Sum: 7"), seen.toString());
    assertFalse(seen.toString().contains("vh_"), seen.toString());
  }

  @Test
  void largeUploadWaitsForSlowTargetInsteadOfMemory() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    int size = 48 * 1024 * 1024;
    gateway.target(
        new ScriptedTarget(
            (head, socket) -> {
              ScriptedTarget.await(go);
              socket.getInputStream().skipNBytes(size);
              return ScriptedTarget.write(socket, ScriptedTarget.ok(head, "stored"));
            },
            false),
        "dakar");
    try (RawCaller caller = new RawCaller(gateway.server.port());
        Socket socket = caller.socket()) {
      caller.send("PUT /proofs HTTP/1.1\r\n" + KEYED + "Content-Length: " + size + "\r\n\r\n");
      CompletableFuture<Void> writing = CompletableFuture.runAsync(() -> write(socket, size));
      // Without back-pressure the gateway would take the whole body although nobody reads it.
      boolean taken = true;
      try {
        writing.get(500, TimeUnit.MILLISECONDS);
      } catch (java.util.concurrent.TimeoutException e) {
        taken = false;
      }
      assertFalse(taken, "the gateway took the whole body");
      go.countDown();
      writing.get(10, TimeUnit.SECONDS);
      assertTrue(caller.readUntil("stored").endsWith("stored"));
    }
  }

  private static void write(Socket socket, int size) {
    byte[] part = new byte[64 * 1024];
    try {
      for (int sent = 0; sent < size; sent += part.length) {
        socket.getOutputStream().write(part);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Test
  void requestsBeyondTheSlotsWaitAndAreServed() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    CountDownLatch full = new CountDownLatch(3);
    gateway.target(
        new ScriptedTarget(
            (head, socket) -> {
              full.countDown();
              ScriptedTarget.await(go);
              return ScriptedTarget.write(socket, ScriptedTarget.ok(head, "done"));
            }),
        "dakar");
    List<CompletableFuture<HttpResponse<String>>> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(
          gateway.http.sendAsync(
              gateway.keyed("/orders").POST(BodyPublishers.noBody()).build(),
              BodyHandlers.ofString()));
    }
    assertTrue(full.await(5, TimeUnit.SECONDS));
    go.countDown();
    for (CompletableFuture<HttpResponse<String>> one : all) {
      assertEquals("done", one.get(5, TimeUnit.SECONDS).body());
    }
    GatewayFixture.until(() -> gateway.limits.inRegions.get() == 0);
  }
}
