package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.model.KeyHash;

/** Tests a fleet with more members than the aggregator threshold. */
class AggregationTest {

  private static final int HOSTS = 36;
  private static final Duration LIMIT = Duration.ofSeconds(60);
  private final FleetSimulation simulation = new FleetSimulation(3, 3);

  private void assertFreshFor(Duration time) {
    for (long i = 0; i < time.toMillis() / 20; i++) {
      simulation.run(Duration.ofMillis(20));
      assertTrue(simulation.liveNodes(n -> !n.isFresh()).isEmpty(), "a host is not fresh");
    }
  }

  /** Guards against contact ages that exceed the freshness bound because aggregators relay them. */
  @Test
  void hostsStayFreshOverAggregatorsAndReceiveWithdrawals() {
    simulation.startAll(HOSTS);
    System.out.println(
        HOSTS + " hosts joined after " + simulation.clock.nanoTime() / 1_000_000 + " ms");
    simulation.run(Duration.ofSeconds(5));
    assertFreshFor(Duration.ofSeconds(30));
    assertEquals(HOSTS, simulation.node(0).membersEpoch(), "no host was fenced");
    Fact fact = new Fact.KeyWithdrawn(FleetSimulation.ENV, KeyHash.of(FleetSimulation.KEY));
    var publication = simulation.node(5).facts().publish(fact, Duration.ofSeconds(3));
    simulation.runUntil(Duration.ofSeconds(3), publication::isDone);
    assertTrue(publication.join().accepted());
    simulation.runUntil(
        Timing.FRESHNESS_BOUND,
        () -> simulation.liveNodes(n -> !n.facts().contains(fact)).isEmpty());
  }

  /** Guards against running hosts that are fenced because both aggregators of their zone failed. */
  @ParameterizedTest(name = "zone {0}")
  @ValueSource(ints = {0, 1, 2, 3, 4, 5})
  void lossOfAggregatorsFencesNoOtherHost(int number) {
    simulation.startAll(HOSTS);
    simulation.run(Duration.ofMillis(5_000 + number * 50));
    String zone = "zone" + number;
    var members = simulation.node(0).members().stream().filter(m -> m.zone().equals(zone)).toList();
    for (Member aggregator :
        Rendezvous.first("aggregator/" + zone, members, Timing.AGGREGATORS_PER_ZONE)) {
      simulation.kill(Integer.parseInt(aggregator.host().substring("host".length())));
    }
    Duration removed = simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(HOSTS - 2));
    System.out.println("both aggregators of a zone removed after " + removed);
    simulation.runUntil(LIMIT, simulation::allReady);
    assertFreshFor(Duration.ofSeconds(10));
    assertEquals(HOSTS + 2, simulation.liveNodes(n -> true).get(0).membersEpoch());
    assertEquals(0, simulation.eventCount(FleetEvent.SELF_FENCED));
  }
}
