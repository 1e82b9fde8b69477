package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.limits.testing.AdmissionLog;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.limits.testing.RequestLoad;
import verbenahatch.limits.testing.ShareAudit;

class LimitsFaultTest {

  private static final int HOSTS = 9;
  private static final double BURST = 40;
  private static final String NORTH = LimitSpec.ofWorkspace("north");

  private final double[] weights = new double[HOSTS];
  private double rate = 100;
  private double enforcedRate = 100;
  private long generation = 1;

  /**
   * Guards against a share that two hosts can use, or that is never reclaimed, after any mix of
   * kills, pauses, network partitions, restarts with empty memory, store outages, lost responses
   * and changes of the limit. The callers send three times the rate.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void neverAdmitsMoreThanTheLimit(long seed) {
    Random random = new Random(seed);
    LimitSimulation simulation = start(seed);
    AdmissionLog log = new AdmissionLog(rate, BURST, simulation.clock().nanoTime());
    RequestLoad load = new RequestLoad(simulation, "north", seed, log);
    for (int step = 0; step < 100; step++) {
      injectFault(simulation, random, log);
      for (int i = 0; i < 10; i++) {
        load.run(Duration.ofMillis(70), 300, weights);
        checkTotals(simulation, log, seed);
      }
    }
    assertTrue(log.excess() <= 1e-6, "seed " + seed + " excess " + log.excess());
    settle(simulation);
    Share sum = ShareAudit.sum(simulation, NORTH);
    assertEquals((long) (rate * Share.TOKEN), sum.rate(), "seed " + seed + " rate lost");
    assertEquals((long) (BURST * Share.TOKEN), sum.burst(), "seed " + seed + " burst lost");
    assertTrue(load.admitted() > 1000, "seed " + seed + " admitted " + load.admitted());
  }

  private LimitSimulation start(long seed) {
    LimitSimulation simulation =
        new LimitSimulation(
            seed,
            HOSTS,
            3,
            TestDocuments.document(generation, rate, BURST, 60),
            Duration.ofMillis(10));
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.network().setLoss(0.05);
    simulation.network().setDuplication(0.05);
    simulation.store().setLostResponses(0.3);
    simulation.advance(Duration.ofSeconds(5));
    return simulation;
  }

  private void injectFault(LimitSimulation simulation, Random random, AdmissionLog log) {
    for (int i = 0; i < HOSTS; i++) {
      weights[i] = random.nextInt(4) == 0 ? 10 : 1;
    }
    int host = random.nextInt(HOSTS);
    switch (random.nextInt(10)) {
      case 0 -> simulation.restart(host);
      case 1 -> simulation.kill(host);
      case 2 -> simulation.pause(host);
      case 3 -> simulation.isolate(randomHosts(random));
      case 4 -> simulation.store().setDown(true);
      case 5 -> changeRate(simulation, random, log);
      default -> repair(simulation, random);
    }
  }

  private static Set<Integer> randomHosts(Random random) {
    Set<Integer> picked = new HashSet<>();
    for (int i = 0; i < HOSTS; i++) {
      if (random.nextInt(3) == 0) {
        picked.add(i);
      }
    }
    return picked;
  }

  private static void repair(LimitSimulation simulation, Random random) {
    simulation.heal();
    simulation.store().setDown(false);
    for (int i = 0; i < HOSTS; i++) {
      if (simulation.hosts().get(i).isRunning()) {
        continue;
      }
      if (random.nextBoolean()) {
        simulation.resume(i);
      }
      if (!simulation.hosts().get(i).isRunning()) {
        simulation.restart(i);
      }
    }
  }

  private void changeRate(LimitSimulation simulation, Random random, AdmissionLog log) {
    if (enforcedRate != rate) {
      return;
    }
    rate = 50 + random.nextInt(100);
    generation++;
    simulation.changeDocument(
        TestDocuments.document(generation, rate, BURST, 60), Duration.ofSeconds(5));
    if (rate > enforcedRate) {
      enforcedRate = rate;
      log.rate(rate, simulation.clock().nanoTime());
    }
  }

  /**
   * Checks the usable shares. A lowered rate counts once the coordinator has no outstanding shares
   * above it.
   */
  private void checkTotals(LimitSimulation simulation, AdmissionLog log, long seed) {
    Share sum = ShareAudit.sum(simulation, NORTH);
    if (rate < enforcedRate && ShareAudit.isSettled(simulation, NORTH, generation)) {
      enforcedRate = rate;
      log.rate(rate, simulation.clock().nanoTime());
    }
    String text = "seed " + seed + " at " + simulation.clock().nanoTime() / 1e9 + " s: " + sum;
    assertTrue(sum.rate() <= enforcedRate * Share.TOKEN, text);
    assertTrue(sum.burst() <= BURST * Share.TOKEN, text);
  }

  private static void settle(LimitSimulation simulation) {
    simulation.heal();
    simulation.store().setDown(false);
    simulation.store().setLostResponses(0);
    simulation.network().setLoss(0);
    simulation.network().setDuplication(0);
    for (int i = 0; i < HOSTS; i++) {
      if (simulation.hosts().get(i).isRunning()) {
        continue;
      }
      simulation.resume(i);
      if (!simulation.hosts().get(i).isRunning()) {
        simulation.restart(i);
      }
    }
    simulation.advance(Duration.ofSeconds(30));
  }
}
