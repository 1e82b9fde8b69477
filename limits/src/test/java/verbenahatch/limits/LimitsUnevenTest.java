package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.limits.testing.AdmissionLog;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.limits.testing.RequestLoad;

class LimitsUnevenTest {

  private static final Duration TICK = Duration.ofMillis(10);

  private static double[] mostlyOn(int host, int hosts) {
    double[] weights = new double[hosts];
    Arrays.fill(weights, 0.1 / (hosts - 1));
    weights[host] = 0.9;
    return weights;
  }

  /**
   * Guards against refused requests within the rate when the callers move from one host to another.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void callersThatMoveAreNotRefused(long seed) {
    LimitSimulation simulation =
        new LimitSimulation(seed, 9, 3, TestDocuments.document(1, 200, 100, 60), TICK);
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.advance(Duration.ofSeconds(4));
    AdmissionLog log = new AdmissionLog(200, 100, simulation.clock().nanoTime());
    RequestLoad load = new RequestLoad(simulation, "north", seed, log);
    for (int host = 0; host < 9; host++) {
      load.run(Duration.ofSeconds(5), 160, mostlyOn(host, 9));
    }
    assertEquals(0, load.overLimit() + load.notFresh());
    assertTrue(log.excess() <= 0, "excess " + log.excess());
  }

  /** Guards against a burst that no host can use because it is smaller than the number of hosts. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  void smallBurstReachesEveryHost(long seed) {
    LimitSimulation simulation =
        new LimitSimulation(seed, 9, 3, TestDocuments.document(1, 5, 2, 60), TICK);
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.advance(Duration.ofSeconds(4));
    AdmissionLog log = new AdmissionLog(5, 2, simulation.clock().nanoTime());
    RequestLoad load = new RequestLoad(simulation, "north", seed, log);
    double[] even = new double[9];
    Arrays.fill(even, 1);
    load.run(Duration.ofSeconds(120), 1, even);
    // At one random request a second with 5 allowed, three requests within 0.4 s are rare.
    assertTrue(load.admitted() >= 0.9 * load.offered(), "admitted " + load.admitted());
    assertTrue(log.excess() <= 0, "excess " + log.excess());
  }
}
