package verbenahatch.peer.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.ManualClock;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerError;

/**
 * Guards against a simulated network that delivers otherwise than tests of other modules assume.
 */
class FakePeerNetworkTest {

  private static final PeerAddress A = new PeerAddress("10.0.0.1", 1);
  private static final PeerAddress B = new PeerAddress("10.0.0.2", 1);
  private static final Duration TIMEOUT = Duration.ofMillis(200);

  private final FakePeerNetwork network = new FakePeerNetwork(new ManualClock(), 7);
  private final FakePeerLink caller = network.open(A, "inc-a");
  private final FakePeerLink callee = network.open(B, "inc-b");
  private final List<String> handled = new ArrayList<>();

  private CompletableFuture<Result<byte[], PeerError>> call(String text) {
    callee.handle(
        MessageKind.PULSE,
        (sender, body) -> {
          handled.add(sender);
          return CompletableFuture.completedFuture(body);
        });
    return caller.call(B, MessageKind.PULSE, text.getBytes(StandardCharsets.UTF_8), TIMEOUT);
  }

  /** Guards against a response before both delays passed, or a request without the sender's id. */
  @Test
  void respondsAfterBothDelays() {
    network.setDelay(Duration.ofMillis(10), Duration.ofMillis(10));
    CompletableFuture<Result<byte[], PeerError>> response = call("x");
    network.advance(Duration.ofMillis(19));
    assertFalse(response.isDone());
    network.advance(Duration.ofMillis(1));
    assertEquals("x", new String(response.join().get(), StandardCharsets.UTF_8));
    assertEquals(List.of("inc-a"), handled);
  }

  /** Guards against partitions and losses reported as requests that were certainly not sent. */
  @Test
  void partitionTimesOutAndHeals() {
    network.partition(Set.of(A), Set.of(B));
    CompletableFuture<Result<byte[], PeerError>> lost = call("x");
    network.advance(TIMEOUT);
    assertInstanceOf(PeerError.NoResponse.class, lost.join().error());
    network.heal();
    CompletableFuture<Result<byte[], PeerError>> response = call("x");
    network.advance(TIMEOUT);
    assertTrue(response.join().isOk());
  }

  /** Guards against a network in which handlers never receive a duplicate request. */
  @Test
  void duplicatesAndPausesDelivery() {
    network.setDuplication(1);
    network.pause(B);
    final CompletableFuture<Result<byte[], PeerError>> response = call("x");
    network.advance(Duration.ofMillis(50));
    assertEquals(0, handled.size());
    network.resume(B);
    network.advance(Duration.ofMillis(50));
    assertEquals(2, handled.size());
    assertTrue(response.join().isOk());
  }

  /** Guards against reporting a request to a stopped process as possibly handled. */
  @Test
  void failsAsNotSentWithoutLink() {
    callee.close();
    assertInstanceOf(PeerError.NotSent.class, call("x").join().error());
  }

  /** Guards against runs with the same seed that differ in the order of failed requests. */
  @Test
  void closingCompletesRequestsInOrderOfSending() {
    List<Integer> expected = new ArrayList<>();
    List<Integer> completed = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      int number = i;
      expected.add(number);
      var unused = call("x").thenRun(() -> completed.add(number));
    }
    caller.close();
    assertEquals(expected, completed);
  }
}
