package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import verbenahatch.model.EnvironmentDocument.Target;

/**
 * Guards against faults in the choice of targets, the ejection of failing ones and the slow start.
 */
class PowerOfTwoChooserTest {

  private static final long SEED = Long.getLong("seed", 7);
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final PowerOfTwoChooser chooser = new PowerOfTwoChooser(new SplittableRandom(SEED));

  static List<TargetState> targets(int count, int slots) {
    List<TargetState> states = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Target target = new Target("t" + i, "r", "z", "127.0.0.1", 1 + i, "v1", slots, 10);
      TargetState state = new TargetState(target, 0);
      state.skipSlowStart();
      states.add(state);
    }
    return states;
  }

  private @Nullable TargetState acquire(List<TargetState> states, long now) {
    return chooser.acquire(states, state -> true, IntUnaryOperator.identity(), now);
  }

  @Test
  void takesEverySlotBeforeItFindsNone() {
    System.out.println("seed " + SEED);
    List<TargetState> states = targets(5, 3);
    for (int i = 0; i < 15; i++) {
      assertNotNull(acquire(states, 0));
    }
    assertNull(acquire(states, 0));
    states.get(3).release();
    assertSame(states.get(3), acquire(states, 0));
  }

  @Test
  void balancesLoadOverTargets() {
    List<TargetState> states = targets(20, 100);
    for (int i = 0; i < 1_000; i++) {
      acquire(states, 0);
    }
    int maxInFlight = states.stream().mapToInt(TargetState::inFlight).max().orElseThrow();
    assertTrue(maxInFlight < 60, "most loaded target has " + maxInFlight + " of a mean of 50");
  }

  @Test
  void reportLosesWeightWithAgeAndCannotKeepTargetIdle() {
    List<TargetState> states = targets(2, 4);
    states.get(0).recordLoadReport(1_000, 0);
    assertSame(states.get(1), acquire(states, 0));
    assertTrue(states.get(0).score(0) <= 1);
    assertTrue(states.get(0).score(60 * NANOS_PER_SECOND) < 0.01);
  }

  @Test
  void targetThatShedIsSkippedForSomeMilliseconds() {
    List<TargetState> states = targets(1, 4);
    states.get(0).recordShed(0);
    assertNull(acquire(states, TargetState.SHED_PAUSE_NANOS - 1));
    assertNotNull(acquire(states, TargetState.SHED_PAUSE_NANOS));
  }

  @Test
  void ejectsAtMostOneThirdOfTheTargets() {
    List<TargetState> states = targets(7, 4);
    OutlierEjector ejector = new OutlierEjector();
    int ejected = 0;
    for (TargetState state : states) {
      for (int i = 0; i < OutlierEjector.CONSECUTIVE_FAILURES; i++) {
        state.recordOutcome(true);
      }
      ejected += ejector.ejectIfOutlier(state, states, 0) ? 1 : 0;
    }
    assertEquals(2, ejected);
    assertTrue(states.get(0).isEjected(OutlierEjector.FIRST_EJECTION_NANOS - 1));
    assertTrue(!states.get(0).isEjected(OutlierEjector.FIRST_EJECTION_NANOS));
  }

  @Test
  void returningTargetStartsSlowly() {
    TargetState state = targets(1, 10).get(0);
    assertEquals(10, state.effectiveSlots(0));
    state.eject(NANOS_PER_SECOND);
    assertEquals(1, state.effectiveSlots(NANOS_PER_SECOND), 0.01);
    assertEquals(
        5.5, state.effectiveSlots(NANOS_PER_SECOND + TargetState.SLOW_START_NANOS / 2), 0.01);
    assertEquals(10, state.effectiveSlots(NANOS_PER_SECOND + TargetState.SLOW_START_NANOS));
  }

  @Test
  void hostsWithinTheirQuotasTakeDifferentSlots() {
    int hosts = 4;
    List<List<TargetState>> views = new ArrayList<>();
    for (int host = 0; host < hosts; host++) {
      List<TargetState> view = targets(5, 3);
      SlotQuota.assign(view, host, hosts);
      views.add(view);
    }
    int[] atTarget = new int[5];
    for (List<TargetState> view : views) {
      int quota = view.stream().mapToInt(TargetState::quota).sum();
      for (int i = 0; i < quota; i++) {
        atTarget[view.indexOf(acquire(view, 0))]++;
      }
    }
    assertArrayEquals(new int[] {3, 3, 3, 3, 3}, atTarget);
  }

  @Test
  void hostBeyondItsQuotaSkipsUsuallyFullTargets() {
    List<TargetState> states = targets(2, 3);
    SlotQuota.assign(states, 0, 6);
    assertSame(states.get(0), acquire(states, 0));
    states.get(0).recordLoadReport(3, 0);
    states.get(1).recordLoadReport(3, 0);
    assertNull(acquire(states, 0));
    states.get(1).recordLoadReport(1, 10 * NANOS_PER_SECOND);
    assertSame(states.get(1), acquire(states, 10 * NANOS_PER_SECOND));
  }
}
