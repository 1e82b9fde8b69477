package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.limits.testing.AdmissionLog;
import verbenahatch.limits.testing.LimitSimulation;

class LimitsKindsTest {

  private static final int HOSTS = 9;
  private static final int CAPACITY = 12;

  private final int[] inUse = new int[HOSTS];
  private int peakInUse;
  private int entered;

  private static LimitSimulation start(long seed) {
    LimitSimulation simulation =
        new LimitSimulation(
            seed, HOSTS, 3, TestDocuments.document(1, 100, 40, CAPACITY), Duration.ofMillis(10));
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.advance(Duration.ofSeconds(5));
    return simulation;
  }

  private static long deadline(LimitSimulation simulation) {
    return simulation.clock().nanoTime() + Duration.ofSeconds(1).toNanos();
  }

  /** Guards against more requests in a region than its capacity while hosts restart. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  void regionsNeverExceedTheirCapacity(long seed) {
    LimitSimulation simulation = start(seed);
    Random random = new Random(seed);
    for (int step = 0; step < 6000; step++) {
      int host = step % 2000 < 1000 ? random.nextInt(HOSTS) : random.nextInt(2);
      if (step % 1500 == 1499) {
        simulation.restart(host);
        inUse[host] = 0;
      }
      enter(simulation, host);
      leave(simulation, random);
      simulation.advance(Duration.ofMillis(10));
    }
    assertTrue(peakInUse <= CAPACITY, "seed " + seed + " ran " + peakInUse);
    assertTrue(peakInUse >= CAPACITY - 1, "seed " + seed + " ran only " + peakInUse);
    assertTrue(entered > 2000, "seed " + seed + " entered " + entered);
  }

  private void enter(LimitSimulation simulation, int host) {
    SharedLimits limits = simulation.hosts().get(host).limits();
    limits
        .enterRegion("r0", deadline(simulation))
        .thenAccept(
            admission -> {
              boolean isCurrent = simulation.hosts().get(host).limits() == limits;
              if (admission instanceof Admission.Admitted && isCurrent) {
                inUse[host]++;
                entered++;
              }
            });
  }

  private void leave(LimitSimulation simulation, Random random) {
    int sum = 0;
    for (int host = 0; host < HOSTS; host++) {
      sum += inUse[host];
    }
    peakInUse = Math.max(peakInUse, sum);
    for (int host = 0; host < HOSTS; host++) {
      if (inUse[host] > 0 && random.nextInt(6) == 0) {
        inUse[host]--;
        simulation.hosts().get(host).limits().leaveRegion("r0");
      }
    }
  }

  /**
   * Guards against more bytes than the limit of a link, and against a limit that cannot be used up.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void linksCarryTheirLimitAndNoMore(long seed) {
    LimitSimulation simulation = start(seed);
    Random random = new Random(seed);
    double bytesPerSecond = 280e6 / 8;
    AdmissionLog log = new AdmissionLog(bytesPerSecond, 2 << 20, simulation.clock().nanoTime());
    for (int step = 0; step < 4000; step++) {
      for (int i = 0; i < 4; i++) {
        int bytes = 1 + random.nextInt(64 * 1024);
        int host = step < 2000 ? random.nextInt(HOSTS) : random.nextInt(3);
        simulation
            .hosts()
            .get(host)
            .limits()
            .takeLinkBytes("r0", "r1", bytes, deadline(simulation))
            .thenAccept(
                admission -> {
                  if (admission instanceof Admission.Admitted) {
                    log.admit(bytes, simulation.clock().nanoTime());
                  }
                });
      }
      simulation.advance(Duration.ofMillis(3));
    }
    assertTrue(log.excess() <= 1e-3, "seed " + seed + " excess " + log.excess());
    assertTrue(
        log.admitted() > 0.9 * bytesPerSecond * 12, "seed " + seed + " carried " + log.admitted());
  }

  /** Guards against a limit missing from the document that is treated as unlimited. */
  @Test
  void unknownLimitIsRefused() {
    LimitSimulation simulation = start(1);
    SharedLimits limits = simulation.hosts().get(0).limits();
    long deadline = deadline(simulation);
    assertInstanceOf(Admission.UnknownLimit.class, limits.admit("nobody", deadline).join());
    assertInstanceOf(
        Admission.UnknownLimit.class, limits.takeLinkBytes("r1", "r0", 1, deadline).join());
    assertEquals(
        new Admission.Admitted(), limits.takeLinkBytes("r1", "r1", 1 << 30, deadline).join());
    assertEquals(0, limits.linkHeadroom("r1", "r0"));
  }
}
