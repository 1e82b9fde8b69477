package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that a planned stop accepts and then cuts off. */
class StopPlanTest {

  private static final long SIGNAL_NANOS = -7_000_000_000L;

  private static long nanos(long millisAfterSignal) {
    return SIGNAL_NANOS + TimeUnit.MILLISECONDS.toNanos(millisAfterSignal);
  }

  /**
   * Uploads sent 3.0 to 3.5 s after SIGTERM that took 3 s were cut at 5.8 s of a grace period of 6
   * s (review, StopCutsLateRequests).
   */
  @ParameterizedTest
  @CsvSource({
    "6000, 0, 60000, true",
    "6000, 3000, 60000, true",
    "6000, 3100, 3000, false",
    "6000, 3100, 2400, true",
    "6000, 3400, 0, true",
    "6000, 3600, 0, false",
    "10000, 3400, 6000, true",
    "10000, 3400, 6500, false",
    "700, 500, 60000, true",
    "700, 600, 0, false"
  })
  void acceptsLateRequestOnlyIfItEndsInTime(
      long graceMillis, long atMillis, long timeoutMillis, boolean accepted) {
    StopPlan plan = new StopPlan(SIGNAL_NANOS, graceMillis);
    assertEquals(accepted, plan.accepts(nanos(atMillis), timeoutMillis));
  }

  /** A step of the stop that took long moved its end behind the end of the grace period. */
  @ParameterizedTest
  @ValueSource(longs = {0, 700, 4_500, 6_000, 10_000})
  void endsWithinGracePeriodHoweverLongItsStepsTake(long graceMillis) {
    StopPlan plan = new StopPlan(SIGNAL_NANOS, graceMillis);
    for (long step = 0; step <= graceMillis; step += 100) {
      long now = nanos(step);
      assertTrue(step + plan.millisUntilEnd(now) <= graceMillis, "at " + step);
      assertTrue(plan.millisUntilRefusal(now) <= plan.millisUntilEnd(now), "at " + step);
    }
    assertEquals(0, plan.millisUntilEnd(nanos(graceMillis + 1)));
  }
}
