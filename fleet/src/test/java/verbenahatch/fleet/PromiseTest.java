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
 * Drives nine hosts through random failures and checks the promises at every step.
 *
 * <p>System properties: {@code fleet.seed} (first seed, 1) and {@code fleet.runs} (20).
 */
class PromiseTest {

  private static final int HOSTS = 9;
  private static final int KEYS = 40;
  private static final Duration LENGTH = Duration.ofSeconds(90);
  private static final Duration STEP = Duration.ofMillis(20);

  /** Kills and restarts leave this many members alive, a majority of nine and one more. */
  private static final int LEAST_LIVE = 6;

  static LongStream seeds() {
    long first = Long.getLong("fleet.seed", 1);
    return LongStream.range(first, first + Integer.getInteger("fleet.runs", 20));
  }

  /** One run. */
  private static final class Run {
    private final FleetWorld world;
    private final Random random;
    private final Map<String, Long> acceptedAt = new HashMap<>();
    private final Set<String> usedAfterLapse = new HashSet<>();
    private final List<String> wrong = new ArrayList<>();
    private int nextKey;
    private long uses;
    private long lapses;

    Run(long seed) {
      world = new FleetWorld(seed, 3);
      random = new Random(seed);
      String[] keys = new String[KEYS];
      for (int i = 0; i < KEYS; i++) {
        keys[i] = key(i);
      }
      world.write("keys/" + FleetWorld.ENV, FleetWorld.ring(2, keys));
    }

    private static String key(int number) {
      return "vh_key" + number;
    }

    void play() {
      world.startAll(HOSTS);
      long end = world.clock.nanoTime() + LENGTH.toNanos();
      while (world.clock.nanoTime() < end) {
        if (random.nextInt(15) == 0) {
          act();
        }
        world.run(STEP);
        check();
      }
    }

    private void act() {
      int number = random.nextInt(HOSTS);
      FleetWorld.Host host = world.at(number);
      switch (random.nextInt(13)) {
        case 0 -> {
          if (host.alive && !host.paused && liveMembers() > LEAST_LIVE) {
            world.kill(number);
          }
        }
        case 1, 2 -> {
          if (!host.alive) {
            world.start(number);
          }
        }
        case 3 -> {
          if (host.alive && !host.paused) {
            world.pause(number);
          }
        }
        case 4, 5 -> {
          if (host.paused) {
            world.resume(number);
          }
        }
        case 6 -> cut(number);
        case 7 -> world.network.heal();
        case 8 -> world.network.setDelay(Duration.ZERO, Duration.ofMillis(random.nextInt(600)));
        case 9 -> world.network.setLoss(random.nextInt(3) * 0.1);
        case 10 -> {
          world.setStoreDown(random.nextBoolean());
        }
        case 11 -> {
          int answers = random.nextInt(5);
          world.store.setFaults(
              new StoreFaults(false, 0, false, answers, random.nextInt(3), false));
        }
        default -> withdraw(host);
      }
    }

    private long liveMembers() {
      return world.live(n -> n.isFresh()).size();
    }

    private void cut(int number) {
      if (random.nextBoolean()) {
        world.cutRegion(number % 3);
        return;
      }
      var one = Set.of(world.at(number).address);
      var other = Set.of(world.at(random.nextInt(HOSTS)).address);
      if (random.nextBoolean()) {
        world.network.partitionOneWay(one, other);
      } else {
        world.network.partition(one, other);
      }
    }

    private void withdraw(FleetWorld.Host host) {
      if (!host.alive || host.paused || nextKey >= KEYS) {
        return;
      }
      String key = key(nextKey++);
      host.node
          .facts()
          .publish(
              new Fact.KeyWithdrawn(FleetWorld.ENV, KeyHash.of(key)), Duration.ofSeconds(1_000))
          .thenAccept(
              spread -> {
                if (spread.accepted()) {
                  acceptedAt.put(key, world.clock.nanoTime());
                }
              });
    }

    private void check() {
      long now = world.clock.nanoTime();
      Set<String> inUse = new HashSet<>();
      for (FleetNode node : world.live(n -> true)) {
        for (int i = 0; i < KEYS; i++) {
          checkKey(node, key(i), now);
        }
        if (node.isFresh()) {
          inUse.add(node.self().incarnation());
        }
      }
      for (String incarnation : inUse) {
        for (FleetNode node : world.live(n -> n.isLapsed(incarnation))) {
          if (usedAfterLapse.add(incarnation)) {
            wrong.add(incarnation + " is fresh but lapsed for " + node.self().incarnation());
          }
        }
      }
      lapses += world.live(n -> n.members().size() < HOSTS).isEmpty() ? 0 : 1;
    }

    private void checkKey(FleetNode node, String key, long now) {
      if (node.keys().check(key) instanceof KeyCheck.Valid) {
        uses++;
        Long accepted = acceptedAt.get(key);
        if (accepted != null && now - accepted > Timing.FRESHNESS_BOUND.toNanos()) {
          long late = (now - accepted) / 1_000_000;
          wrong.add(key + " used on " + node.self().host() + " " + late + " ms after acceptance");
        }
      }
    }
  }

  /**
   * Guards against a use of a withdrawn key after the bound, a use by an incarnation that others
   * hold to be lapsed, and a fleet that does not recover when failures end.
   */
  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void promisesHoldUnderRandomFailures(long seed) {
    Run run = new Run(seed);
    run.play();
    System.out.printf(
        "PromiseTest seed %d: %d uses, %d withdrawals accepted, epoch %d, wrong %d%n",
        seed,
        run.uses,
        run.acceptedAt.size(),
        run.world.live(n -> true).stream().mapToLong(FleetNode::membersEpoch).max().orElse(0),
        run.wrong.size());
    assertEquals(List.of(), run.wrong, "seed " + seed);
    assertTrue(run.lapses > 0, "no member was removed");
    recover(run);
  }

  private static void recover(Run run) {
    FleetWorld world = run.world;
    world.network.heal();
    world.network.setLoss(0);
    world.network.setDelay(Duration.ZERO, Duration.ofMillis(40));
    world.setStoreDown(false);
    for (int i = 0; i < HOSTS; i++) {
      if (!world.at(i).alive) {
        world.start(i);
      } else if (world.at(i).paused) {
        world.resume(i);
      }
    }
    world.until(Duration.ofSeconds(120), () -> world.members(HOSTS) && world.allReady());
  }
}
