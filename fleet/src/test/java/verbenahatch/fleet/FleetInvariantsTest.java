package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import verbenahatch.model.KeyHash;
import verbenahatch.standins.StoreFaults;

/**
 * Simulates nine hosts with random failures and checks at every step that no withdrawn key is used
 * after the freshness bound and that no expired incarnation is fresh.
 *
 * <p>System properties: {@code fleet.seed} (first seed, default 1) and {@code fleet.runs} (number
 * of seeds, default 20).
 */
class FleetInvariantsTest {

  private static final int HOSTS = 9;
  private static final int KEYS = 40;
  private static final Duration DURATION = Duration.ofSeconds(90);
  private static final Duration STEP = Duration.ofMillis(20);

  /** Kills and restarts leave at least this many fresh hosts: a majority of nine and one more. */
  private static final int MIN_LIVE_MEMBERS = 6;

  static LongStream seeds() {
    long first = Long.getLong("fleet.seed", 1);
    return LongStream.range(first, first + Integer.getInteger("fleet.runs", 20));
  }

  /** One simulation run. */
  private static final class Run {
    private final FleetSimulation simulation;
    private final Random random;
    private final Map<String, Long> acceptedAtNanos = new HashMap<>();
    private final Set<String> usedAfterExpiry = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private int nextKey;
    private long uses;
    private long stepsWithRemoval;

    Run(long seed) {
      simulation = new FleetSimulation(seed, 3);
      random = new Random(seed);
      String[] keys = new String[KEYS];
      for (int i = 0; i < KEYS; i++) {
        keys[i] = key(i);
      }
      simulation.write("keys/" + FleetSimulation.ENV, FleetSimulation.ring(2, keys));
    }

    private static String key(int number) {
      return "vh_key" + number;
    }

    void execute() {
      simulation.startAll(HOSTS);
      long endNanos = simulation.clock.nanoTime() + DURATION.toNanos();
      while (simulation.clock.nanoTime() < endNanos) {
        if (random.nextInt(15) == 0) {
          injectFailure();
        }
        simulation.run(STEP);
        checkInvariants();
      }
    }

    private void injectFailure() {
      int number = random.nextInt(HOSTS);
      FleetSimulation.Host host = simulation.host(number);
      switch (random.nextInt(13)) {
        case 0 -> {
          if (host.alive && !host.paused && liveMembers() > MIN_LIVE_MEMBERS) {
            simulation.kill(number);
          }
        }
        case 1, 2 -> {
          if (!host.alive) {
            simulation.start(number);
          }
        }
        case 3 -> {
          if (host.alive && !host.paused) {
            simulation.pause(number);
          }
        }
        case 4, 5 -> {
          if (host.paused) {
            simulation.resume(number);
          }
        }
        case 6 -> partition(number);
        case 7 -> simulation.network.heal();
        case 8 ->
            simulation.network.setDelay(Duration.ZERO, Duration.ofMillis(random.nextInt(600)));
        case 9 -> simulation.network.setLoss(random.nextInt(3) * 0.1);
        case 10 -> {
          simulation.setStoreDown(random.nextBoolean());
        }
        case 11 -> {
          int lostResponses = random.nextInt(5);
          simulation.store.setFaults(
              new StoreFaults(false, 0, false, lostResponses, random.nextInt(3), false));
        }
        default -> withdraw(host);
      }
    }

    private long liveMembers() {
      return simulation.liveNodes(n -> n.isFresh()).size();
    }

    private void partition(int number) {
      if (random.nextBoolean()) {
        simulation.partitionRegion(number % 3);
        return;
      }
      var firstHost = Set.of(simulation.host(number).address);
      var secondHost = Set.of(simulation.host(random.nextInt(HOSTS)).address);
      if (random.nextBoolean()) {
        simulation.network.partitionOneWay(firstHost, secondHost);
      } else {
        simulation.network.partition(firstHost, secondHost);
      }
    }

    private void withdraw(FleetSimulation.Host host) {
      if (!host.alive || host.paused || nextKey >= KEYS) {
        return;
      }
      String key = key(nextKey++);
      host.node
          .facts()
          .publish(
              new Fact.KeyWithdrawn(FleetSimulation.ENV, KeyHash.of(key)),
              Duration.ofSeconds(1_000))
          .thenAccept(
              result -> {
                if (result.accepted()) {
                  acceptedAtNanos.put(key, simulation.clock.nanoTime());
                }
              });
    }

    private void checkInvariants() {
      long nowNanos = simulation.clock.nanoTime();
      Set<String> freshIncarnations = new HashSet<>();
      for (FleetNode node : simulation.liveNodes(n -> true)) {
        for (int i = 0; i < KEYS; i++) {
          checkKey(node, key(i), nowNanos);
        }
        if (node.isFresh()) {
          freshIncarnations.add(node.self().incarnation());
        }
      }
      for (String incarnation : freshIncarnations) {
        for (FleetNode node : simulation.liveNodes(n -> n.isExpired(incarnation))) {
          if (usedAfterExpiry.add(incarnation)) {
            violations.add(incarnation + " is fresh but expired for " + node.self().incarnation());
          }
        }
      }
      stepsWithRemoval += simulation.liveNodes(n -> n.members().size() < HOSTS).isEmpty() ? 0 : 1;
    }

    private void checkKey(FleetNode node, String key, long nowNanos) {
      if (node.keys().check(key) instanceof KeyCheck.Valid) {
        uses++;
        Long acceptedNanos = acceptedAtNanos.get(key);
        if (acceptedNanos != null && nowNanos - acceptedNanos > Timing.FRESHNESS_BOUND.toNanos()) {
          long lateMillis = (nowNanos - acceptedNanos) / 1_000_000;
          violations.add(
              key + " used on " + node.self().host() + " " + lateMillis + " ms after acceptance");
        }
      }
    }
  }

  /**
   * Guards against use of a withdrawn key after the freshness bound, use by an incarnation that
   * other hosts treat as expired, and a fleet that does not recover when the failures end.
   */
  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void invariantsHoldUnderRandomFailures(long seed) {
    Run run = new Run(seed);
    run.execute();
    System.out.printf(
        "FleetInvariantsTest seed %d: %d uses, %d withdrawals accepted, epoch %d, violations %d%n",
        seed,
        run.uses,
        run.acceptedAtNanos.size(),
        run.simulation.liveNodes(n -> true).stream()
            .mapToLong(FleetNode::membersEpoch)
            .max()
            .orElse(0),
        run.violations.size());
    assertEquals(List.of(), run.violations, "seed " + seed);
    assertTrue(run.stepsWithRemoval > 0, "no member was removed");
    recover(run);
  }

  private static void recover(Run run) {
    FleetSimulation simulation = run.simulation;
    simulation.network.heal();
    simulation.network.setLoss(0);
    simulation.network.setDelay(Duration.ZERO, Duration.ofMillis(40));
    simulation.setStoreDown(false);
    for (int i = 0; i < HOSTS; i++) {
      if (!simulation.host(i).alive) {
        simulation.start(i);
      } else if (simulation.host(i).paused) {
        simulation.resume(i);
      }
    }
    simulation.runUntil(
        Duration.ofSeconds(120), () -> simulation.allSeeMembers(HOSTS) && simulation.allReady());
  }
}
