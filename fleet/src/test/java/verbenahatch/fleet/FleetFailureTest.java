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
      new Fact.KeyWithdrawn(FleetSimulation.ENV, KeyHash.of(FleetSimulation.KEY));

  private final FleetSimulation simulation = new FleetSimulation(7, 3);

  @BeforeEach
  void startNineHosts() {
    simulation.startAll(9);
  }

  private List<FleetNode> inRegion(int region, boolean inside) {
    return simulation.liveNodes(n -> n.self().region().equals("region" + region) == inside);
  }

  private boolean knownEverywhere(List<FleetNode> nodes) {
    return nodes.stream()
        .allMatch(n -> n.keys().check(FleetSimulation.KEY) instanceof KeyCheck.Withdrawn);
  }

  private Facts.PublishResult withdrawAt(int number) {
    var publication = simulation.node(number).facts().publish(WITHDRAWN, Duration.ofSeconds(3));
    simulation.runUntil(LIMIT, publication::isDone);
    return publication.join();
  }

  /**
   * Guards against a fleet that loses freshness, fails to accept a withdrawal or changes its
   * members because the store is down.
   */
  @Test
  void storeOutageLeavesFreshnessMembersAndWithdrawals() {
    simulation.setStoreDown(true);
    final long epoch = simulation.node(0).membersEpoch();
    for (int i = 0; i < 600; i++) {
      simulation.run(Duration.ofMillis(100));
      assertTrue(simulation.liveNodes(n -> !n.isFresh()).isEmpty());
    }
    assertTrue(withdrawAt(3).accepted());
    simulation.runUntil(BOUND, () -> knownEverywhere(simulation.liveNodes(n -> true)));
    assertFalse(simulation.node(3).facts().status(WITHDRAWN).durable());
    simulation.kill(8);
    simulation.run(Duration.ofSeconds(20));
    assertEquals(
        epoch, simulation.node(0).membersEpoch(), "no host is fenced while the store is down");
    assertEquals(0, simulation.eventCount(FleetEvent.FENCING));
    simulation.setStoreDown(false);
    simulation.runUntil(LIMIT, () -> simulation.node(0).facts().status(WITHDRAWN).durable());
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
  }

  /**
   * Guards against a withdrawal in force that is reported as not in force while the store is down.
   */
  @Test
  void withdrawalStaysInForceWhileStoreIsDown() {
    simulation.setStoreDown(true);
    assertTrue(withdrawAt(3).accepted());
    for (int host : new int[] {3, 0}) {
      simulation.runUntil(BOUND, () -> simulation.node(host).facts().status(WITHDRAWN).inForce());
    }
    simulation.run(Duration.ofSeconds(10));
    for (int host : new int[] {3, 0}) {
      FactStatus status = simulation.node(host).facts().status(WITHDRAWN);
      assertTrue(status.inForce(), "host " + host + ": " + status);
      assertFalse(status.durable(), "host " + host + ": " + status);
    }
  }

  /** Guards against a partitioned minority that uses keys whose withdrawal it cannot receive. */
  @Test
  void partitionedRegionRefusesAndOthersContinue() {
    simulation.partitionRegion(2);
    simulation.run(BOUND.plusMillis(1));
    assertTrue(inRegion(2, true).stream().noneMatch(FleetNode::isFresh));
    assertInstanceOf(KeyCheck.NotFresh.class, simulation.node(2).keys().check(FleetSimulation.KEY));
    assertTrue(inRegion(2, false).stream().allMatch(FleetNode::isFresh));
    assertFalse(withdrawAt(2).accepted(), "a minority accepts no fact");
    assertTrue(withdrawAt(0).accepted());
    simulation.runUntil(BOUND, () -> knownEverywhere(inRegion(2, false)));
    simulation.runUntil(LIMIT, () -> simulation.node(0).members().size() == 6);
    simulation.network.heal();
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
    assertTrue(knownEverywhere(simulation.liveNodes(n -> true)));
  }

  /**
   * Guards against a killed host whose shares are reclaimed too early, and against one that cannot
   * rejoin.
   */
  @Test
  void killedHostIsFencedExpiresAndIsReplaced() {
    final String removedIncarnation = simulation.node(5).self().incarnation();
    simulation.kill(5);
    Duration fenced = simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    assertFalse(simulation.node(0).isExpired(removedIncarnation));
    Duration expired =
        simulation.runUntil(
            LIMIT, () -> simulation.liveNodes(n -> !n.isExpired(removedIncarnation)).isEmpty());
    System.out.printf("removed after %s, expired %s later%n", fenced, expired);
    assertTrue(fenced.compareTo(Timing.SUSPECT_AFTER) > 0);
    assertTrue(fenced.plus(expired).compareTo(Duration.ofMillis(5_000)) <= 0);
    simulation.start(5);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
  }

  /** Guards against a quick restart after which the old incarnation stays a member. */
  @Test
  void restartedHostReplacesItsPredecessor() {
    final String removedIncarnation = simulation.node(4).self().incarnation();
    simulation.kill(4);
    simulation.start(4);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
    simulation.runUntil(
        LIMIT, () -> simulation.liveNodes(n -> !n.isExpired(removedIncarnation)).isEmpty());
  }

  /** Guards against a fleet that cannot form again when no member of the last epoch still runs. */
  @Test
  void fleetFormsAgainAfterAllHostsRestarted() {
    for (int i = 0; i < 9; i++) {
      simulation.kill(i);
    }
    simulation.run(Duration.ofSeconds(5));
    for (int i = 0; i < 9; i++) {
      simulation.start(i);
    }
    Duration time =
        simulation.runUntil(
            Duration.ofSeconds(90), () -> simulation.allSeeMembers(9) && simulation.allReady());
    System.out.println("restart of all nine hosts took " + time);
  }

  /**
   * Guards against a host that counts contacts or responses from before a pause after it resumes.
   */
  @Test
  void pausedHostIsNotFreshUntilNewResponsesArrive() {
    simulation.setStoreDown(true);
    simulation.pause(1);
    withdrawAt(0);
    simulation.run(Duration.ofSeconds(4));
    simulation.resume(1);
    assertFalse(simulation.node(1).isFresh());
    assertInstanceOf(KeyCheck.NotFresh.class, simulation.node(1).keys().check("vh_second"));
    simulation.run(Duration.ofMillis(1));
    assertFalse(
        simulation.node(1).isFresh(), "responses to polls sent before the pause do not count");
    simulation.runUntil(LIMIT, () -> simulation.node(1).isFresh());
    assertInstanceOf(
        KeyCheck.Withdrawn.class, simulation.node(1).keys().check(FleetSimulation.KEY));
  }

  /** Guards against a fenced process that continues under its old incarnation. */
  @Test
  void fencedHostRejoinsUnderNewIncarnation() {
    final String old = simulation.node(1).self().incarnation();
    simulation.pause(1);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    simulation.resume(1);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
    assertNotEquals(old, simulation.node(1).self().incarnation());
    assertEquals(simulation.node(1).self().incarnation(), simulation.host(1).link.incarnation());
    assertEquals(1, simulation.eventCount(FleetEvent.SELF_FENCED));
  }

  /** Guards against contact ages that count from the arrival of a delayed response. */
  @Test
  void delayedResponsesDoNotMakeHostsFresh() {
    var slowHost = Set.of(simulation.host(0).address);
    simulation.network.setLatency(
        (from, to, random) ->
            slowHost.contains(to) || slowHost.contains(from) ? 800_000_000L : 1_000_000L);
    simulation.run(BOUND.plusMillis(1));
    for (int i = 0; i < 100; i++) {
      simulation.run(Duration.ofMillis(50));
      assertFalse(simulation.node(0).isFresh());
    }
  }

  /**
   * Guards against members that are lost, or added twice, when responses to store writes are lost.
   */
  @Test
  void lostStoreResponsesAreReadBack() {
    simulation.loseStoreResponses(1_000);
    simulation.kill(3);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    simulation.start(3);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
    assertTrue(simulation.eventCount(FleetEvent.MEMBERS_UNSETTLED) > 0);
    assertEquals(11, simulation.node(0).membersEpoch());
  }

  /**
   * Guards against epochs that remove or add more than one member when several hosts write at once.
   */
  @Test
  void concurrentRemovalsAndJoinsChangeOneMemberPerEpoch() {
    simulation.kill(1);
    simulation.kill(2);
    simulation.kill(6);
    final Duration removed = simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(6));
    assertEquals(12, simulation.node(0).membersEpoch());
    simulation.start(1);
    simulation.start(2);
    Duration joined =
        simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8) && simulation.allReady());
    assertEquals(14, simulation.node(0).membersEpoch());
    System.out.printf("three removed after %s, two joined after %s%n", removed, joined);
  }

  /** Guards against a graceful stop that is handled as a failure, with a fence. */
  @Test
  void leavingHostIsMarkedAndRemovesItself() {
    FleetNode node = simulation.node(7);
    node.markLeaving();
    simulation.runUntil(
        LIMIT, () -> simulation.node(0).members().stream().anyMatch(Member::leaving));
    assertTrue(node.isFresh(), "a leaving host still serves requests");
    simulation.host(7).leaving = true;
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    assertFalse(node.isFresh());
    assertEquals(0, simulation.eventCount(FleetEvent.FENCING));
  }

  /** Guards against the adoption of an older value after a stale read or a restore of the store. */
  @Test
  void olderValuesOfTheStoreAreRefusedAndReported() {
    final InMemoryObjectStore.Snapshot older = simulation.store.snapshot();
    simulation.write("environment/" + FleetSimulation.ENV, FleetSimulation.document(2));
    simulation.runUntil(
        Duration.ofSeconds(6),
        () -> simulation.liveNodes(n -> n.generations().containsValue(2L)).size() == 9);
    simulation.kill(8);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    simulation.store.restore(older);
    simulation.run(Duration.ofSeconds(35));
    assertTrue(
        simulation.liveNodes(n -> n.config().document().orElseThrow().generation() != 2).isEmpty());
    assertTrue(simulation.eventCount(FleetEvent.OLDER_VALUE) > 0);
    simulation.start(8);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(9) && simulation.allReady());
    assertEquals(2, simulation.node(8).config().document().orElseThrow().generation());
    assertTrue(simulation.eventCount(FleetEvent.MEMBERS_RESTORED) > 0);
  }

  /** Guards against a new host that is ready without a configuration or without being a member. */
  @Test
  void hostThatStartsInOutageHoldsConfigurationButIsNotReady() {
    simulation.kill(8);
    simulation.runUntil(LIMIT, () -> simulation.allSeeMembers(8));
    simulation.write("environment/" + FleetSimulation.ENV, FleetSimulation.document(5));
    simulation.run(Duration.ofSeconds(2));
    simulation.setStoreDown(true);
    simulation.start(8);
    simulation.run(Duration.ofSeconds(10));
    assertFalse(simulation.node(8).notReadyReason().isEmpty());
    simulation.setStoreDown(false);
    simulation.runUntil(LIMIT, () -> simulation.node(8).notReadyReason().isEmpty());
    assertEquals(5, simulation.node(8).config().document().orElseThrow().generation());
  }
}
