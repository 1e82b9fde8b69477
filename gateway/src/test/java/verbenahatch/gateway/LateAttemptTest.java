package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against attempts that begin late in a drain and are cut off at its end (issue 30). */
class LateAttemptTest {

  private static final String SHED =
      "HTTP/1.1 503 X\r\nVerbenahatch-Shed: not-run\r\nContent-Length: 0\r\n\r\n";

  private final CountDownLatch arrived = new CountDownLatch(1);
  private final CountDownLatch shed = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final AtomicInteger requestCount = new AtomicInteger();

  private ScriptedTarget target() throws Exception {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          if (requestCount.getAndIncrement() == 0) {
            arrived.countDown();
            ScriptedTarget.await(shed);
            return ScriptedTarget.write(socket, SHED);
          }
          ScriptedTarget.await(closed);
          return false;
        });
  }

  /** A second attempt whose deadline is after the end of the drain got no response. */
  @Test
  void attemptThatMayOutliveTheDrainIsRefusedAsNotRun() throws Exception {
    try (GatewayFixture gateway = new GatewayFixture()) {
      gateway.target(target(), "dakar").target(target(), "dakar");
      final CompletableFuture<HttpResponse<String>> response =
          gateway.http.sendAsync(gateway.keyed("/proofs").build(), BodyHandlers.ofString());
      assertTrue(arrived.await(5, TimeUnit.SECONDS));
      gateway.server.beginDrain();
      // The target sheds the request while the drain lasts.
      CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS).execute(shed::countDown);
      gateway.server.finishDrain(Duration.ofMillis(600));
      gateway.server.close();
      assertEquals("host-stopping", GatewayFixture.reason(response.get(5, TimeUnit.SECONDS)));
      assertEquals("not-run", GatewayFixture.outcome(response.get()));
      assertEquals(1, requestCount.get());
    } finally {
      closed.countDown();
    }
  }
}
