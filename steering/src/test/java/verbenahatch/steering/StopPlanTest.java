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

  /**
   * Uploads that were accepted early reached their target late in the grace period and were cut off
   * at its end (issue 30).
   */
  @ParameterizedTest
  @CsvSource({
    // time limit fits: always
    "6000, 5500, 100, 5000, true",
    "6000, 3600, 2000, 5000, true",
    // in the first 3 s: what is expected to fit
    "6000, 3000, 10000, 5000, false",
    "6000, 3000, 10000, 1800, true",
    "6000, 3000, 10000, 1900, false",
    "6000, 0, 10000, 3900, true",
    "6000, 0, 10000, 4100, false",
    "6000, 2900, 10000, 0, true",
    // later: only if the time limit fits
    "6000, 3100, 10000, 1, false",
    "6000, 5700, 10, 0, false",
    "10000, 9000, 1000, 1, false"
  })
  void workBeginsOnlyIfItEndsInTime(
      long graceMillis, long atMillis, long timeoutMillis, double expectedMillis, boolean begins) {
    StopPlan plan = new StopPlan(SIGNAL_NANOS, graceMillis);
    assertEquals(begins, plan.mayBegin(nanos(atMillis), timeoutMillis, expectedMillis));
  }

  /**
   * Callers send for 15 s after SIGTERM and bodies end up to 4 s after their heads. What begins
   * ends before the process, even if it takes 1.4 times the expected time.
   */
  @ParameterizedTest
  @CsvSource({"6000, 840, 4000", "6000, 100, 10000", "10000, 2500, 30000", "700, 50, 1200"})
  void replayOfCallersThatGoOnSendingCutsOffNoWork(
      long graceMillis, long expectedMillis, long timeoutMillis) {
    StopPlan plan = new StopPlan(SIGNAL_NANOS, graceMillis);
    int begun = 0;
    for (long head = 0; head <= 15_000; head += 50) {
      for (long body = 0; body < Math.min(timeoutMillis, 4_000); body += 50) {
        long remainingMillis = timeoutMillis - body;
        long begin = head + body;
        boolean accepted = plan.accepts(nanos(head), timeoutMillis);
        if (accepted && plan.mayBegin(nanos(begin), remainingMillis, expectedMillis)) {
          begun++;
          long workMillis = (long) Math.min(remainingMillis, 1.4 * expectedMillis);
          assertTrue(begin + workMillis < graceMillis, head + " ms, body of " + body + " ms");
        }
        if (accepted && begin + remainingMillis < plan.millisUntilEnd(SIGNAL_NANOS)) {
          assertTrue(plan.mayBegin(nanos(begin), remainingMillis, expectedMillis));
        }
      }
    }
    assertTrue(begun > 0, "nothing begins");
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
