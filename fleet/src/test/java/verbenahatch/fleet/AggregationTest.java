package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.model.KeyHash;

/** Runs a fleet above the aggregator threshold. */
class AggregationTest {

  private static final int HOSTS = 36;
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private final FleetWorld world = new FleetWorld(3, 3);

  private void assertFreshFor(Duration time) {
    for (long i = 0; i < time.toMillis() / 20; i++) {
      world.run(Duration.ofMillis(20));
      assertTrue(world.live(n -> !n.isFresh()).isEmpty(), "a host is not fresh");
    }
  }

  /** Guards against contact ages that exceed the bound because of the way over aggregators. */
  @Test
  void hostsStayFreshOverAggregatorsAndLearnWithdrawals() {
    world.startAll(HOSTS);
    System.out.println(HOSTS + " hosts joined after " + world.clock.nanoTime() / 1_000_000 + " ms");
    world.run(Duration.ofSeconds(5));
    assertFreshFor(Duration.ofSeconds(30));
    assertEquals(HOSTS, world.node(0).membersEpoch(), "no host was fenced");
    Fact fact = new Fact.KeyWithdrawn(FleetWorld.ENV, KeyHash.of(FleetWorld.KEY));
    var spread = world.node(5).facts().publish(fact, Duration.ofSeconds(3));
    world.until(Duration.ofSeconds(3), spread::isDone);
    assertTrue(spread.join().accepted());
    world.until(Timing.FRESHNESS_BOUND, () -> world.live(n -> !n.facts().contains(fact)).isEmpty());
  }

  /** Guards against live hosts that are fenced because both aggregators of their zone died. */
  @ParameterizedTest(name = "zone {0}")
  @ValueSource(ints = {0, 1, 2, 3, 4, 5})
  void lossOfAggregatorsFencesNoOtherHost(int number) {
    world.startAll(HOSTS);
    world.run(Duration.ofMillis(5_000 + number * 50));
    String zone = "zone" + number;
    var members = world.node(0).members().stream().filter(m -> m.zone().equals(zone)).toList();
    for (Member aggregator :
        Rendezvous.first("aggregator/" + zone, members, Timing.AGGREGATORS_PER_ZONE)) {
      world.kill(Integer.parseInt(aggregator.host().substring("host".length())));
    }
    Duration removed = world.until(LIMIT, () -> world.members(HOSTS - 2));
    System.out.println("both aggregators of a zone removed after " + removed);
    world.until(LIMIT, world::allReady);
    assertFreshFor(Duration.ofSeconds(10));
    assertEquals(HOSTS + 2, world.live(n -> true).get(0).membersEpoch());
    assertEquals(0, world.eventCount(FleetEvent.SELF_FENCED));
  }
}
