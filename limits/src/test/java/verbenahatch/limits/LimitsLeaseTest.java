package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Events;
import verbenahatch.limits.testing.AdmissionLog;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.limits.testing.RequestLoad;
import verbenahatch.limits.testing.ShareAudit;
import verbenahatch.limits.testing.SimulatedHost;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.generated.CloseReport;
import verbenahatch.peer.generated.CloseShares;
import verbenahatch.peer.generated.ShareLine;

class LimitsLeaseTest {

  private static final int HOSTS = 9;
  private static final double RATE = 100;
  private static final double BURST = 40;

  private final double[] even = new double[HOSTS];

  private LimitSimulation start(long seed) {
    Arrays.fill(even, 1);
    LimitSimulation simulation =
        new LimitSimulation(
            seed, HOSTS, 3, TestDocuments.document(1, RATE, BURST, 60), Duration.ofMillis(10));
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.advance(Duration.ofSeconds(5));
    return simulation;
  }

  /** Guards against a minority that keeps using shares which the majority has reclaimed. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void isolatedHostsStopAndMajorityReclaimsShares(long seed) {
    LimitSimulation simulation = start(seed);
    AdmissionLog log = new AdmissionLog(RATE, BURST, simulation.clock().nanoTime());
    RequestLoad load = new RequestLoad(simulation, "north", seed, log);
    load.run(Duration.ofSeconds(10), 3 * RATE, even);
    simulation.isolate(Set.of(0, 3, 6));
    load.run(Duration.ofSeconds(10), 3 * RATE, even);
    load.resetCounts();
    load.run(Duration.ofSeconds(20), 3 * RATE, even);
    assertTrue(log.excess() <= 0, "seed " + seed + " excess " + log.excess());
    assertTrue(load.notFresh() > 1500, "seed " + seed + " not fresh " + load.notFresh());
    assertTrue(load.admitted() > 0.95 * RATE * 20, "seed " + seed + " " + load.admitted());
  }

  /** Guards against a process that is resumed after its lease expired and uses its old shares. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void resumedHostAdmitsNothingUnderItsOldLease(long seed) {
    LimitSimulation simulation = start(seed);
    SimulatedHost host = simulation.hosts().get(4);
    long deadline = simulation.clock().nanoTime() + Duration.ofHours(1).toNanos();
    assertEquals(new Admission.Admitted(), host.limits().admit("north", deadline).join());
    simulation.pause(4);
    simulation.advance(Duration.ofSeconds(10));
    simulation.resume(4);
    assertEquals(new Admission.NotFresh(), host.limits().admit("north", deadline).join());
    simulation.advance(Duration.ofSeconds(3));
    assertTrue(host.isFresh());
    assertTrue(host.limits().holdsShares());
  }

  /** Guards against a store outage that stops admission when hosts fail meanwhile. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void admissionContinuesDuringStoreOutage(long seed) {
    LimitSimulation simulation = start(seed);
    AdmissionLog log = new AdmissionLog(RATE, BURST, simulation.clock().nanoTime());
    RequestLoad load = new RequestLoad(simulation, "north", seed, log);
    load.run(Duration.ofSeconds(5), RATE / 2, even);
    simulation.store().setDown(true);
    simulation.kill(1);
    simulation.kill(5);
    load.resetCounts();
    load.run(Duration.ofSeconds(60), RATE / 2, even);
    assertTrue(load.admitted() >= 0.99 * load.offered(), "seed " + seed + " " + load.admitted());
    assertTrue(log.excess() <= 0, "seed " + seed + " excess " + log.excess());
  }

  /**
   * Guards against a host that exchanges no shares any more because an election closed its epoch
   * and then failed.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void closedEpochWithoutCoordinatorIsReplaced(long seed) {
    LimitSimulation simulation = start(seed);
    String north = LimitSpec.ofWorkspace("north");
    long epoch = epochAt(simulation, 0);
    for (int closed : new int[] {2, 5}) {
      CloseShares close =
          CloseShares.newBuilder().setGroup(LimitSpec.groupOf(north)).setEpoch(epoch).build();
      simulation
          .hosts()
          .get(0)
          .link()
          .call(
              simulation.hosts().get(closed).link().localAddress(),
              MessageKind.CLOSE_SHARES,
              close.toByteArray(),
              Duration.ofSeconds(1));
    }
    simulation.advance(Duration.ofSeconds(8));
    for (int i = 0; i < HOSTS; i++) {
      assertTrue(epochAt(simulation, i) > epoch, "seed " + seed + " host " + i);
    }
    assertEquals((long) (RATE * Share.TOKEN), ShareAudit.sum(simulation, north).rate());
  }

  private static long epochAt(LimitSimulation simulation, int host) {
    SharedLimits.View view =
        simulation.hosts().get(host).limits().view().get(LimitSpec.ofWorkspace("north"));
    return Objects.requireNonNull(view).epoch();
  }

  /** Guards against two coordinators of one epoch when two hosts run elections at the same time. */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void oneOfTwoElectionsWins(long seed) {
    LimitSimulation simulation =
        new LimitSimulation(
            seed, HOSTS, 3, TestDocuments.document(1, RATE, BURST, 60), Duration.ofHours(1));
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.store().setLostResponses(seed % 2 == 0 ? 1 : 0);
    List<String> outcomes = new ArrayList<>();
    List<Election> elections = new ArrayList<>();
    for (int index : new int[] {2, 7}) {
      elections.add(election(simulation, index, outcomes));
    }
    elections.forEach(Election::start);
    for (int i = 0; i < 20; i++) {
      simulation.advance(Duration.ofMillis(50));
      elections.forEach(Election::tick);
    }
    assertEquals(2, outcomes.size());
    assertEquals(1, outcomes.stream().filter("won"::equals).count(), outcomes.toString());
  }

  /** Creates the election of a host for a group that has no coordinator yet. */
  private static Election election(LimitSimulation simulation, int index, List<String> outcomes) {
    SimulatedHost host = simulation.hosts().get(index);
    LimitsContext context =
        new LimitsContext(
            simulation.clock(),
            host,
            new LiveMembers(host, simulation.clock()),
            host.link(),
            simulation.store(),
            Runnable::run,
            Events.none());
    int unusedGroup = LimitSpec.GROUPS - 1;
    String self = host.self().incarnation();
    return new Election(
        unusedGroup,
        context,
        self,
        true,
        new Election.Outcome() {
          @Override
          public void won(long epoch, Map<String, List<ShareLine>> reports, long closedAt) {
            outcomes.add("won");
          }

          @Override
          public void lost(long epoch, String coordinator) {
            outcomes.add("lost");
          }

          @Override
          public void failed() {
            outcomes.add("failed");
          }

          @Override
          public CloseReport closeLocally(long epoch) {
            return CloseReport.newBuilder().setClosed(true).build();
          }
        });
  }
}
