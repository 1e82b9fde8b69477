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

/** Guards against requests to targets that left and against the loss of those that came back. */
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
  void drainingTargetIsNotOffered() {
    table.replace(Map.of("one", one));
    assertTrue(only().isOffered());
    table.applyChanges(List.of(Samples.draining(one)), Set.of());
    assertFalse(only().isOffered());
  }

  @Test
  void removedTargetIsNotOfferedToRequestsThatHoldIt() {
    table.replace(Map.of("one", one));
    Target held = only();
    table.applyChanges(List.of(), Set.of("one"));
    assertNull(table.byId("one"));
    assertFalse(held.isOffered());
  }

  /** An entry that lapsed in an outage is kept until living targets have written theirs again. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void entryMissingAfterOutageIsKeptForTheReturnTime(boolean comesBack) {
    table.replace(Map.of("one", one));
    table.registryRecovered(clock.nanoTime());
    table.replace(Map.of());
    table.expire();
    assertTrue(only().isOffered());
    if (comesBack) {
      table.applyChanges(List.of(one), Set.of());
    }
    clock.advance(Duration.ofMillis(TargetTable.RETURN_MILLIS + 1));
    table.expire();
    assertEquals(comesBack, table.byId("one") != null);
  }

  /** A process that starts again under its id knows nothing of before and is cold. */
  @Test
  void newIncarnationUnderOldIdStartsAnew() {
    table.replace(Map.of("one", one));
    Target before = only();
    before.inFlight.set(5);
    table.applyChanges(List.of(Samples.restarted(one, 3_000)), Set.of());
    assertFalse(before.isOffered());
    assertEquals(0, only().inFlight.get());
    assertTrue(only().isCold(clock.nanoTime()));
  }

  @Test
  void targetsOfZoneTakenBackAreCold() {
    table.replace(Map.of("one", one));
    table.evacuate(Set.of("a1"), 3_000);
    assertTrue(table.isEvacuated("a1"));
    assertFalse(only().isCold(clock.nanoTime()));
    table.evacuate(Set.of(), 3_000);
    assertFalse(table.isEvacuated("a1"));
    assertTrue(only().isCold(clock.nanoTime()));
  }

  /** A host that was cut off alone must not keep targets that left meanwhile. */
  @Test
  void entryMissingAfterCutOfThisHostAloneIsDroppedAtOnce() {
    table.replace(Map.of("t1", Samples.target("t1", "a1", "v1")));
    long seen = clock.nanoTime();
    clock.advance(Duration.ofMillis(TargetTable.RETURN_MILLIS));
    table.registryRecovered(seen);
    table.replace(Map.of());
    assertEquals(0, table.size());
  }
}
