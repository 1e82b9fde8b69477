package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.model.KeyHash;
import verbenahatch.standins.InMemoryObjectStore;

class FleetFailureTest {

  private static final Duration LIMIT = Duration.ofSeconds(30);
  private static final Duration BOUND = Timing.FRESHNESS_BOUND;
  private static final Fact WITHDRAWN =
      new Fact.KeyWithdrawn(FleetWorld.ENV, KeyHash.of(FleetWorld.KEY));

  private final FleetWorld world = new FleetWorld(7, 3);

  @BeforeEach
  void startNineHosts() {
    world.startAll(9);
  }

  private List<FleetNode> inRegion(int region, boolean inside) {
    return world.live(n -> n.self().region().equals("region" + region) == inside);
  }

  private boolean knownEverywhere(List<FleetNode> nodes) {
    return nodes.stream()
        .allMatch(n -> n.keys().check(FleetWorld.KEY) instanceof KeyCheck.Withdrawn);
  }

  private Facts.PublishResult withdrawAt(int number) {
    var spread = world.node(number).facts().publish(WITHDRAWN, Duration.ofSeconds(3));
    world.until(LIMIT, spread::isDone);
    return spread.join();
  }

  /** Guards against a fleet that stops, or changes its members, because the store is down. */
  @Test
  void storeOutageLeavesFreshnessMembersAndWithdrawals() {
    world.setStoreDown(true);
    final long epoch = world.node(0).membersEpoch();
    for (int i = 0; i < 600; i++) {
      world.run(Duration.ofMillis(100));
      assertTrue(world.live(n -> !n.isFresh()).isEmpty());
    }
    assertTrue(withdrawAt(3).accepted());
    world.until(BOUND, () -> knownEverywhere(world.live(n -> true)));
    assertFalse(world.node(3).facts().status(WITHDRAWN).durable());
    world.kill(8);
    world.run(Duration.ofSeconds(20));
    assertEquals(epoch, world.node(0).membersEpoch(), "no host is fenced while the store is down");
    assertEquals(0, world.eventCount(FleetEvent.FENCING));
    world.setStoreDown(false);
    world.until(LIMIT, () -> world.node(0).facts().status(WITHDRAWN).durable());
    world.until(LIMIT, () -> world.members(8));
  }

  /** Guards against a withdrawal that is in force and yet reported as not, as the store is down. */
  @Test
  void withdrawalStaysInForceWhileStoreIsDown() {
    world.setStoreDown(true);
    assertTrue(withdrawAt(3).accepted());
    for (int host : new int[] {3, 0}) {
      world.until(BOUND, () -> world.node(host).facts().status(WITHDRAWN).inForce());
    }
    world.run(Duration.ofSeconds(10));
    for (int host : new int[] {3, 0}) {
      FactStatus status = world.node(host).facts().status(WITHDRAWN);
      assertTrue(status.inForce(), "host " + host + ": " + status);
      assertFalse(status.durable(), "host " + host + ": " + status);
    }
  }

  /** Guards against a minority that goes on with keys whose withdrawal it cannot know. */
  @Test
  void cutRegionRefusesAndTheOthersGoOn() {
    world.cutRegion(2);
    world.run(BOUND.plusMillis(1));
    assertTrue(inRegion(2, true).stream().noneMatch(FleetNode::isFresh));
    assertInstanceOf(KeyCheck.NotFresh.class, world.node(2).keys().check(FleetWorld.KEY));
    assertTrue(inRegion(2, false).stream().allMatch(FleetNode::isFresh));
    assertFalse(withdrawAt(2).accepted(), "the minority accepts nothing");
    assertTrue(withdrawAt(0).accepted());
    world.until(BOUND, () -> knownEverywhere(inRegion(2, false)));
    world.until(LIMIT, () -> world.node(0).members().size() == 6);
    world.network.heal();
    world.until(LIMIT, () -> world.members(9) && world.allReady());
    assertTrue(knownEverywhere(world.live(n -> true)));
  }

  /**
   * Guards against shares that are reclaimed too early, and against a host that cannot come back.
   */
  @Test
  void killedHostIsFencedLapsesAndIsReplaced() {
    final String gone = world.node(5).self().incarnation();
    world.kill(5);
    Duration fenced = world.until(LIMIT, () -> world.members(8));
    assertFalse(world.node(0).isExpired(gone));
    Duration lapsed = world.until(LIMIT, () -> world.live(n -> !n.isExpired(gone)).isEmpty());
    System.out.printf("removed after %s, lapsed %s later%n", fenced, lapsed);
    assertTrue(fenced.compareTo(Timing.SUSPECT_AFTER) > 0);
    assertTrue(fenced.plus(lapsed).compareTo(Duration.ofMillis(5_000)) <= 0);
    world.start(5);
    world.until(LIMIT, () -> world.members(9) && world.allReady());
  }

  /** Guards against a quick restart that keeps the old incarnation among the members. */
  @Test
  void restartedHostTakesThePlaceOfItsPredecessor() {
    final String gone = world.node(4).self().incarnation();
    world.kill(4);
    world.start(4);
    world.until(LIMIT, () -> world.members(9) && world.allReady());
    world.until(LIMIT, () -> world.live(n -> !n.isExpired(gone)).isEmpty());
  }

  /** Guards against a fleet that cannot form again when no member of the last epoch is left. */
  @Test
  void fleetFormsAgainAfterAllHostsRestarted() {
    for (int i = 0; i < 9; i++) {
      world.kill(i);
    }
    world.run(Duration.ofSeconds(5));
    for (int i = 0; i < 9; i++) {
      world.start(i);
    }
    Duration time = world.until(Duration.ofSeconds(90), () -> world.members(9) && world.allReady());
    System.out.println("restart of all nine hosts took " + time);
  }

  /** Guards against a woken host that trusts old contacts or old answers. */
  @Test
  void pausedHostIsNotFreshUntilNewAnswersArrive() {
    world.setStoreDown(true);
    world.pause(1);
    withdrawAt(0);
    world.run(Duration.ofSeconds(4));
    world.resume(1);
    assertFalse(world.node(1).isFresh());
    assertInstanceOf(KeyCheck.NotFresh.class, world.node(1).keys().check("vh_second"));
    world.run(Duration.ofMillis(1));
    assertFalse(world.node(1).isFresh(), "answers to polls sent before the pause count as old");
    world.until(LIMIT, () -> world.node(1).isFresh());
    assertInstanceOf(KeyCheck.Withdrawn.class, world.node(1).keys().check(FleetWorld.KEY));
  }

  /** Guards against a fenced process that goes on under its old identity. */
  @Test
  void fencedHostRejoinsUnderNewIncarnation() {
    final String old = world.node(1).self().incarnation();
    world.pause(1);
    world.until(LIMIT, () -> world.members(8));
    world.resume(1);
    world.until(LIMIT, () -> world.members(9) && world.allReady());
    assertNotEquals(old, world.node(1).self().incarnation());
    assertEquals(world.node(1).self().incarnation(), world.at(1).link.incarnation());
    assertEquals(1, world.eventCount(FleetEvent.SELF_FENCED));
  }

  /** Guards against ages that count from the arrival of a delayed answer. */
  @Test
  void delayedAnswersDoNotMakeHostsFresh() {
    var one = Set.of(world.at(0).address);
    world.network.setLatency(
        (from, to, random) -> one.contains(to) || one.contains(from) ? 800_000_000L : 1_000_000L);
    world.run(BOUND.plusMillis(1));
    for (int i = 0; i < 100; i++) {
      world.run(Duration.ofMillis(50));
      assertFalse(world.node(0).isFresh());
    }
  }

  /** Guards against members lost, or added twice, when the store loses the answers to writes. */
  @Test
  void lostStoreAnswersAreReadBack() {
    world.loseStoreAnswers(1_000);
    world.kill(3);
    world.until(LIMIT, () -> world.members(8));
    world.start(3);
    world.until(LIMIT, () -> world.members(9) && world.allReady());
    assertTrue(world.eventCount(FleetEvent.MEMBERS_UNSETTLED) > 0);
    assertEquals(11, world.node(0).membersEpoch());
  }

  /** Guards against epochs that remove or add more than one member when hosts race. */
  @Test
  void racingRemoversAndJoinersChangeOneMemberPerEpoch() {
    world.kill(1);
    world.kill(2);
    world.kill(6);
    final Duration removed = world.until(LIMIT, () -> world.members(6));
    assertEquals(12, world.node(0).membersEpoch());
    world.start(1);
    world.start(2);
    Duration joined = world.until(LIMIT, () -> world.members(8) && world.allReady());
    assertEquals(14, world.node(0).membersEpoch());
    System.out.printf("three removed after %s, two joined after %s%n", removed, joined);
  }

  /** Guards against a graceful stop that is treated as a failure. */
  @Test
  void leavingHostIsMarkedAndRemovesItself() {
    FleetNode node = world.node(7);
    node.markLeaving();
    world.until(LIMIT, () -> world.node(0).members().stream().anyMatch(Member::leaving));
    assertTrue(node.isFresh(), "it goes on serving while it drains");
    world.at(7).leaving = true;
    world.until(LIMIT, () -> world.members(8));
    assertFalse(node.isFresh());
    assertEquals(0, world.eventCount(FleetEvent.FENCING));
  }

  /** Guards against the adoption of an older value from a stale read or a restored store. */
  @Test
  void olderValuesOfTheStoreAreRefusedAndReported() {
    final InMemoryObjectStore.Snapshot older = world.store.snapshot();
    world.write("environment/" + FleetWorld.ENV, FleetWorld.document(2));
    world.until(
        Duration.ofSeconds(6),
        () -> world.live(n -> n.generations().containsValue(2L)).size() == 9);
    world.kill(8);
    world.until(LIMIT, () -> world.members(8));
    world.store.restore(older);
    world.run(Duration.ofSeconds(35));
    assertTrue(world.live(n -> n.config().document().orElseThrow().generation() != 2).isEmpty());
    assertTrue(world.eventCount(FleetEvent.OLDER_VALUE) > 0);
    world.start(8);
    world.until(LIMIT, () -> world.members(9) && world.allReady());
    assertEquals(2, world.node(8).config().document().orElseThrow().generation());
    assertTrue(world.eventCount(FleetEvent.MEMBERS_RESTORED) > 0);
  }

  /** Guards against a new host that serves without a configuration or without being a member. */
  @Test
  void hostThatStartsInOutageHoldsConfigurationButIsNotReady() {
    world.kill(8);
    world.until(LIMIT, () -> world.members(8));
    world.write("environment/" + FleetWorld.ENV, FleetWorld.document(5));
    world.run(Duration.ofSeconds(2));
    world.setStoreDown(true);
    world.start(8);
    world.run(Duration.ofSeconds(10));
    assertFalse(world.node(8).notReady().isEmpty());
    world.setStoreDown(false);
    world.until(LIMIT, () -> world.node(8).notReady().isEmpty());
    assertEquals(5, world.node(8).config().document().orElseThrow().generation());
  }
}
