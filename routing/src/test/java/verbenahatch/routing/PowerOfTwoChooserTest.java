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

/** Guards the choice of targets, the ejection of failing ones and the slow start. */
class PowerOfTwoChooserTest {

  private static final long SEED = Long.getLong("seed", 7);
  private static final long SECOND = 1_000_000_000L;

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
  void takesEveryPlaceBeforeItGivesUp() {
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
  void keepsTargetsLevel() {
    List<TargetState> states = targets(20, 100);
    for (int i = 0; i < 1_000; i++) {
      acquire(states, 0);
    }
    int most = states.stream().mapToInt(TargetState::inFlight).max().orElseThrow();
    assertTrue(most < 60, "most loaded target has " + most + " of a mean of 50");
  }

  @Test
  void reportLosesWeightWithAgeAndCannotIdleTargetForGood() {
    List<TargetState> states = targets(2, 4);
    states.get(0).recordLoadReport(1_000, 0);
    assertSame(states.get(1), acquire(states, 0));
    assertTrue(states.get(0).score(0) <= 1);
    assertTrue(states.get(0).score(60 * SECOND) < 0.01);
  }

  @Test
  void targetThatShedIsPassedOverForSomeMilliseconds() {
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
      for (int i = 0; i < OutlierEjector.FAILURES_IN_ROW; i++) {
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
    state.eject(SECOND);
    assertEquals(1, state.effectiveSlots(SECOND), 0.01);
    assertEquals(5.5, state.effectiveSlots(SECOND + TargetState.SLOW_START_NANOS / 2), 0.01);
    assertEquals(10, state.effectiveSlots(SECOND + TargetState.SLOW_START_NANOS));
  }

  @Test
  void hostsDivideTheSlotsAndDoNotMeetWhileEachIsWithinItsQuota() {
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
  void hostBeyondItsQuotaLeavesUsuallyFullTargetsAlone() {
    List<TargetState> states = targets(2, 3);
    SlotQuota.assign(states, 0, 6);
    assertSame(states.get(0), acquire(states, 0));
    states.get(0).recordLoadReport(3, 0);
    states.get(1).recordLoadReport(3, 0);
    assertNull(acquire(states, 0));
    states.get(1).recordLoadReport(1, 10 * SECOND);
    assertSame(states.get(1), acquire(states, 10 * SECOND));
  }
}
