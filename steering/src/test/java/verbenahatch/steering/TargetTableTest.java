package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.steering.model.TargetRecord;

/** Guards against requests to removed targets and against losing targets after an outage. */
class TargetTableTest {

  private final ManualClock clock = new ManualClock();
  private final TargetTable table = new TargetTable(clock, Events.none(), Samples.ZONES, 0.15);
  private final TargetRecord one = Samples.target("one", "a1", "v1");

  private Target only() {
    Target target = table.byId("one");
    assertNotNull(target);
    return target;
  }

  @Test
  void drainingTargetAcceptsNoRequests() {
    table.replace(Map.of("one", one));
    assertTrue(only().acceptsRequests());
    table.applyChanges(List.of(Samples.draining(one)), Set.of());
    assertFalse(only().acceptsRequests());
  }

  /**
   * A backup from before a drain showed the target as ready, although it is about to stop; also one
   * whose entry was removed since.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void drainedTargetStaysDrainingAfterRestore(boolean removedSince) {
    table.replace(Map.of("one", one));
    table.applyChanges(List.of(Samples.draining(one)), Set.of());
    if (removedSince) {
      table.applyChanges(List.of(), Set.of("one"));
    }
    table.storeRestored();
    table.replace(Map.of("one", one));
    assertFalse(only().acceptsRequests());
    clock.advance(Duration.ofMillis(RestoreHold.HOLD_MILLIS - 1));
    table.expire();
    assertFalse(only().acceptsRequests());
    clock.advance(Duration.ofMillis(1));
    table.expire();
    assertTrue(only().acceptsRequests());
  }

  /**
   * Another incarnation is another process, and an entry shown as draining again is no longer held.
   */
  @Test
  void holdOfDrainEndsWithItsIncarnationAndItsConfirmation() {
    table.replace(Map.of("one", Samples.draining(one)));
    table.storeRestored();
    table.replace(Map.of("one", Samples.restarted(one, 0)));
    assertTrue(only().acceptsRequests());
    table.applyChanges(List.of(Samples.draining(one)), Set.of());
    table.storeRestored();
    table.replace(Map.of("one", Samples.draining(one)));
    table.applyChanges(List.of(one), Set.of());
    assertTrue(only().acceptsRequests());
  }

  @Test
  void removedTargetAcceptsNoRequestsThroughHeldReference() {
    table.replace(Map.of("one", one));
    Target held = only();
    table.applyChanges(List.of(), Set.of("one"));
    assertNull(table.byId("one"));
    assertFalse(held.acceptsRequests());
  }

  /** An entry that expired in an outage is kept until running targets have registered again. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void entryMissingAfterOutageIsKeptForReregistrationTime(boolean registersAgain) {
    table.replace(Map.of("one", one));
    table.registryRecovered(clock.nanoTime());
    table.replace(Map.of());
    table.expire();
    assertTrue(only().acceptsRequests());
    if (registersAgain) {
      table.applyChanges(List.of(one), Set.of());
    }
    clock.advance(Duration.ofMillis(TargetTable.REREGISTRATION_MILLIS + 1));
    table.expire();
    assertEquals(registersAgain, table.byId("one") != null);
  }

  /** A target process restarted under its id has no requests in flight and a cold cache. */
  @Test
  void newIncarnationUnderSameIdReplacesOldOne() {
    table.replace(Map.of("one", one));
    Target before = only();
    before.inFlight.set(5);
    table.applyChanges(List.of(Samples.restarted(one, 3_000)), Set.of());
    assertFalse(before.acceptsRequests());
    assertEquals(0, only().inFlight.get());
    assertTrue(only().isCold(clock.nanoTime()));
  }

  @Test
  void targetsOfZoneNoLongerEvacuatedAreCold() {
    table.replace(Map.of("one", one));
    table.evacuate(Set.of("a1"), 3_000);
    assertTrue(table.isEvacuated("a1"));
    assertFalse(only().isCold(clock.nanoTime()));
    table.evacuate(Set.of(), 3_000);
    assertFalse(table.isEvacuated("a1"));
    assertTrue(only().isCold(clock.nanoTime()));
  }

  /** A host that alone was partitioned must not keep targets removed meanwhile. */
  @Test
  void entryMissingAfterPartitionOfThisHostIsRemovedImmediately() {
    table.replace(Map.of("t1", Samples.target("t1", "a1", "v1")));
    long reachableSinceNanos = clock.nanoTime();
    clock.advance(Duration.ofMillis(TargetTable.REREGISTRATION_MILLIS));
    table.registryRecovered(reachableSinceNanos);
    table.replace(Map.of());
    assertEquals(0, table.size());
  }
}
