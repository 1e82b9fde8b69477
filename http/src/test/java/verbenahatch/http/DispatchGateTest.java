package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a request that runs although its caller was told that it timed out. */
class DispatchGateTest {

  private static final int ROUNDS = 2_000;

  /** Both threads meet at the end of a header, as after a pause of the process. */
  @Test
  void requestIsEitherDispatchedOrTimedOut() throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(2);
    try {
      for (int round = 0; round < ROUNDS; round++) {
        DispatchGate gate = new DispatchGate();
        long seen = gate.dispatched();
        CyclicBarrier start = new CyclicBarrier(2);
        List<Future<Boolean>> winners =
            List.of(
                threads.submit(
                    () -> {
                      start.await();
                      return gate.tryDispatch();
                    }),
                threads.submit(
                    () -> {
                      start.await();
                      return gate.tryTimeOut(seen);
                    }));
        boolean dispatched = winners.get(0).get(10, TimeUnit.SECONDS);
        boolean timedOut = winners.get(1).get(10, TimeUnit.SECONDS);
        assertTrue(dispatched != timedOut, "round " + round);
      }
    } finally {
      threads.shutdownNow();
    }
  }

  /** A timeout that was determined for an earlier request must not end a later one. */
  @Test
  void timeoutOfEarlierRequestHasNoEffect() {
    DispatchGate gate = new DispatchGate();
    long earlier = gate.dispatched();
    assertTrue(gate.tryDispatch());
    assertFalse(gate.tryTimeOut(earlier));
    assertTrue(gate.tryDispatch());
    assertEquals(2, gate.dispatched());
    assertTrue(gate.tryTimeOut(2));
    assertFalse(gate.tryDispatch());
    assertFalse(gate.tryTimeOut(gate.dispatched()));
  }
}
