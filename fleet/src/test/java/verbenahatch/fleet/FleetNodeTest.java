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

  /** Guards against lost or duplicate members when hosts start at once and race to join. */
  @ParameterizedTest(name = "{0} hosts")
  @ValueSource(ints = {1, 2, 3, 9})
  void hostsThatStartAtOnceAllJoin(int count) {
    FleetWorld world = new FleetWorld(1, 3);
    world.startAll(count);
    assertEquals(count, world.node(0).membersEpoch());
    assertInstanceOf(KeyCheck.Valid.class, world.node(count - 1).keys().check(FleetWorld.KEY));
    System.out.println(count + " hosts joined after " + world.clock.nanoTime() / 1_000_000 + " ms");
  }

  /** Guards against a withdrawal that some host does not learn. */
  @Test
  void withdrawnKeyStopsOnEveryHostAndBecomesDurable() {
    FleetWorld world = new FleetWorld(1, 3);
    world.startAll(9);
    KeyCheck.Valid valid = (KeyCheck.Valid) world.node(0).keys().check(FleetWorld.KEY);
    Fact fact = new Fact.KeyWithdrawn(FleetWorld.ENV, valid.keyHash());
    var spread = world.node(4).facts().publish(fact, Duration.ofSeconds(2));
    world.until(LIMIT, spread::isDone);
    assertTrue(spread.join().accepted());
    world.until(
        Duration.ofMillis(1500),
        () ->
            world
                .live(n -> !(n.keys().check(FleetWorld.KEY) instanceof KeyCheck.Withdrawn))
                .isEmpty());
    world.until(LIMIT, () -> world.node(2).facts().status(fact).durable());
    assertTrue(world.node(4).facts().status(fact).inForce());
  }
}
