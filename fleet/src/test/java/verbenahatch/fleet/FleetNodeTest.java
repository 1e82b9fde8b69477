package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetNodeTest {

  private static final Duration LIMIT = Duration.ofSeconds(30);

  /** Guards against lost or duplicate members when hosts that start at once join concurrently. */
  @ParameterizedTest(name = "{0} hosts")
  @ValueSource(ints = {1, 2, 3, 9})
  void hostsThatStartAtOnceAllJoin(int count) {
    FleetSimulation simulation = new FleetSimulation(1, 3);
    simulation.startAll(count);
    assertEquals(count, simulation.node(0).membersEpoch());
    assertInstanceOf(
        KeyCheck.Valid.class, simulation.node(count - 1).keys().check(FleetSimulation.KEY));
    System.out.println(
        count + " hosts joined after " + simulation.clock.nanoTime() / 1_000_000 + " ms");
  }

  /** Guards against a withdrawal that does not reach every host. */
  @Test
  void withdrawnKeyStopsOnEveryHostAndBecomesDurable() {
    FleetSimulation simulation = new FleetSimulation(1, 3);
    simulation.startAll(9);
    KeyCheck.Valid valid = (KeyCheck.Valid) simulation.node(0).keys().check(FleetSimulation.KEY);
    Fact fact = new Fact.KeyWithdrawn(FleetSimulation.ENV, valid.keyHash());
    var publication = simulation.node(4).facts().publish(fact, Duration.ofSeconds(2));
    simulation.runUntil(LIMIT, publication::isDone);
    assertTrue(publication.join().accepted());
    simulation.runUntil(
        Duration.ofMillis(1500),
        () ->
            simulation
                .liveNodes(
                    n -> !(n.keys().check(FleetSimulation.KEY) instanceof KeyCheck.Withdrawn))
                .isEmpty());
    simulation.runUntil(LIMIT, () -> simulation.node(2).facts().status(fact).durable());
    assertTrue(simulation.node(4).facts().status(fact).inForce());
  }
}
