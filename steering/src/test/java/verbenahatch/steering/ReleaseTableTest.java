package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.EraObserver;
import verbenahatch.steering.model.Feed;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.PlatformStore;
import verbenahatch.steering.model.ReleaseOrder;
import verbenahatch.steering.model.ReleaseOrder.State;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.StoreRevision;
import verbenahatch.steering.model.TargetRecord;

/** Guards against exposure to bad versions and against good releases that do not complete. */
class ReleaseTableTest {

  private static final int PER_SECOND = 60;

  private final ManualClock clock = new ManualClock();
  private final SteeringSettings settings = Samples.settings("h1");
  private final HostTable hosts = new HostTable(clock, Events.none(), settings, "p");
  private final ReleaseTable table =
      new ReleaseTable(clock, Events.none(), hosts, settings.bounds());
  private final RecordingStore store = new RecordingStore();
  private ReleaseOrder order =
      new ReleaseOrder("catalogue", "v2", 12_000, State.ORDERED, revision(1), 1);

  private static StoreRevision revision(long number) {
    return new StoreRevision(0, number);
  }

  private final class RecordingStore implements PlatformStore {
    final List<State> states = new ArrayList<>();

    @Override
    public void observeEras(EraObserver observer) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Feed<SteeringDocument> documents() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Feed<TargetRecord> targets() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Feed<ReleaseOrder> releases() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Feed<String> evacuations() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Feed<HostRecord> hosts() {
      throw new UnsupportedOperationException();
    }

    @Override
    public Result<Boolean, WriteError> putHost(HostRecord host) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Result<Boolean, WriteError> removeHost(String name) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Result<Boolean, WriteError> putReleaseState(ReleaseOrder read, State state) {
      states.add(state);
      order =
          new ReleaseOrder(
              read.service(),
              read.version(),
              read.durationMillis(),
              state,
              new StoreRevision(read.revision().era(), read.revision().number() + 1),
              read.created());
      table.put(order);
      return Result.ok(true);
    }
  }

  /**
   * Simulates requests over the duration of an order.
   *
   * @param failureFraction the fraction of requests of the new version that fail, from 0 to 1
   * @param failureFreeRequests the number of its first requests that never fail
   * @return the number of requests that the new version received
   */
  private int runRelease(double failureFraction, int failureFreeRequests) {
    table.put(order);
    int exposed = 0;
    for (int i = 0; i < 12 * PER_SECOND; i++) {
      ReleaseTable.VersionRule peeked = table.peekVersionRule("catalogue");
      ReleaseTable.VersionRule rule = table.nextVersionRule("catalogue");
      assertEquals(peeked, rule, "a look at the next rule must not draw it");
      boolean isNew = "v2".equals(rule.required());
      if (isNew) {
        exposed++;
      }
      boolean failed =
          isNew && exposed > failureFreeRequests && exposed % 100 < failureFraction * 100;
      table.record("catalogue", "r", isNew ? "v2" : "v1", failed);
      clock.advance(Duration.ofNanos(1_000_000_000L / PER_SECOND));
      if (i % 15 == 0) {
        table.tick(true, store);
      }
    }
    return exposed;
  }

  @Test
  void goodVersionReceivesAllTrafficBeforeItIsCompleted() {
    runRelease(0, 0);
    assertEquals(List.of(State.RUNNING, State.COMPLETED), store.states);
    assertEquals("v2", table.nextVersionRule("catalogue").required());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 20, 40})
  void badVersionIsRolledBackWithinTheAllowedExposure(int failureFreeRequests) {
    int exposed = runRelease(0.5, failureFreeRequests);
    assertTrue(store.states.contains(State.ROLLED_BACK), store.states.toString());
    assertFalse(store.states.contains(State.COMPLETED));
    double allowed =
        settings.bounds().canaryShare() * 12 * PER_SECOND + settings.bounds().canarySlack();
    assertTrue(exposed <= allowed, exposed + " requests");
    assertFalse(table.nextVersionRule("catalogue").allows("v2"));
  }

  /** Targets of a new version may register before the order for it arrives. */
  @Test
  void unknownVersionGetsNoRequestBeforeItsOrder() {
    table.addVersions(List.of(Samples.target("t1", "a1", "v1")));
    table.addVersions(List.of(Samples.target("t2", "a1", "v2")));
    assertFalse(table.nextVersionRule("catalogue").allows("v2"));
    clock.advance(Duration.ofSeconds(2));
    assertTrue(table.nextVersionRule("catalogue").allows("v2"));
  }

  /** An older state, which a lagging read may return, must not replace a newer one. */
  @Test
  void olderStateIsIgnored() {
    table.put(new ReleaseOrder("catalogue", "v2", 12_000, State.ROLLED_BACK, revision(9), 1));
    table.put(order);
    assertFalse(table.nextVersionRule("catalogue").allows("v2"));
  }

  private ReleaseOrder restored(String version, State state, long number, long created) {
    return new ReleaseOrder(
        "catalogue", version, 12_000, state, new StoreRevision(1, number), created);
  }

  /**
   * A backup from before a state was recorded began a rolled-back or completed release anew; the
   * state in force is kept, and written again on the basis of the reissued revision.
   */
  @ParameterizedTest
  @CsvSource({"RUNNING, ORDERED", "COMPLETED, RUNNING", "ROLLED_BACK, ORDERED"})
  void stateInForceIsWrittenAgainAfterRestore(State inForce, State inBackup) {
    table.put(new ReleaseOrder("catalogue", "v2", 12_000, inForce, revision(9), 1));
    table.put(restored("v2", inBackup, 4, 3));
    table.put(new ReleaseOrder("catalogue", "v2", 12_000, inBackup, revision(10), 1));
    assertEquals("v2 " + inForce + " share 0.0", table.view().get("catalogue"));
    table.tick(true, store);
    assertEquals(List.of(inForce), store.states);
    assertEquals(new StoreRevision(1, 5), order.revision());
    table.tick(true, store);
    assertEquals(1, store.states.size());
  }

  /** A leader that started after the restore does not know the state, but other hosts do. */
  @Test
  void anyHostWritesStateAgainIfTheLeaderDoesNot() {
    hosts.receive(
        HostBeat.newBuilder()
            .setHost("a")
            .setIncarnation("a")
            .setRegion("a")
            .setReady(true)
            .setStoreReachable(true)
            .build());
    table.put(new ReleaseOrder("catalogue", "v2", 12_000, State.COMPLETED, revision(9), 1));
    table.put(restored("v2", State.ORDERED, 4, 1));
    table.tick(true, store);
    assertEquals(List.of(), store.states);
    clock.advance(Duration.ofMillis(2_000));
    hosts.receive(
        HostBeat.newBuilder()
            .setHost("a")
            .setIncarnation("a")
            .setSequence(2)
            .setRegion("a")
            .setReady(true)
            .setStoreReachable(true)
            .build());
    table.tick(true, store);
    assertEquals(List.of(State.COMPLETED), store.states);
  }

  /** An order for another version may come from the backup, or be newer than the one in force. */
  @ParameterizedTest
  @CsvSource({"v2, 4, true", "v1, 9, false", "v3, 10, true"})
  void orderOfBackupDoesNotReplaceNewerOne(String version, long number, boolean expected) {
    ReleaseOrder held = new ReleaseOrder("catalogue", "v2", 12_000, State.RUNNING, revision(9), 1);
    assertEquals(
        expected, ReleaseTable.replaces(restored(version, State.ORDERED, number, 1), held));
  }
}
