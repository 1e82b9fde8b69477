package verbenahatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SequentialTestTest {

  private static final int STEPS = 2_000;

  private static RouteCounts draw(
      Random random, double newFraction, double newBadRate, double oldBadRate) {
    int newRequests = 0;
    int newFailures = 0;
    int oldFailures = 0;
    int total = 20 + random.nextInt(40);
    for (int i = 0; i < total; i++) {
      boolean isNew = random.nextDouble() < newFraction;
      boolean bad = random.nextDouble() < (isNew ? newBadRate : oldBadRate);
      newRequests += isNew ? 1 : 0;
      newFailures += isNew && bad ? 1 : 0;
      oldFailures += !isNew && bad ? 1 : 0;
    }
    return new RouteCounts(newRequests, newFailures, 0, total - newRequests, oldFailures, 0);
  }

  /** Guards against a good version that is halted because a dependency fails for both versions. */
  @ParameterizedTest
  @CsvSource({"0.01, 1", "0.05, 2", "0.25, 3", "0.5, 4", "0.9, 5"})
  void raisesNoAlarmWhenBothVersionsFailAlike(double newFraction, long seed) {
    Random random = new Random(seed);
    for (int run = 0; run < 50; run++) {
      SequentialTest test = new SequentialTest();
      for (int step = 0; step < STEPS; step++) {
        double bad = step % 200 < 20 ? 0.6 : 0.01;
        assertTrue(
            test.add(draw(random, newFraction, bad, bad)).isEmpty(),
            "seed " + seed + " run " + run);
      }
    }
  }

  /**
   * Guards against a test that needs many failures to find a fault, or that earlier good outcomes
   * delay.
   */
  @ParameterizedTest
  @CsvSource({"0.01, 12, 1", "0.05, 14, 2", "0.25, 25, 3", "0.5, 50, 4"})
  void findsFaultAfterGoodOutcomes(double newFraction, int maxFailures, long seed) {
    Random random = new Random(seed);
    SequentialTest test = new SequentialTest();
    for (int step = 0; step < STEPS; step++) {
      assertFalse(test.add(draw(random, newFraction, 0.005, 0.005)).isPresent());
    }
    long failures = 0;
    boolean found = false;
    while (!found) {
      RouteCounts counts = draw(random, newFraction, 0.4, 0.005);
      failures += counts.newFailures();
      found = test.add(counts).isPresent();
      assertTrue(failures <= maxFailures + 10, "seed " + seed + ": " + failures);
    }
  }

  /** Guards against slowness that is reported as failure, or missed. */
  @ParameterizedTest
  @CsvSource({
    "0, 5, is slower than the old version",
    "5, 0, fails more often than the old version"
  })
  void reportsTheKindOfDifference(long failures, long slow, String expected) {
    SequentialTest test = new SequentialTest();
    for (int step = 0; step < 3; step++) {
      RouteCounts counts = new RouteCounts(10, failures, slow, 90, 0, 0);
      String found = test.add(counts).orElse("");
      if (!found.isEmpty()) {
        assertEquals(expected, found);
        return;
      }
    }
    throw new AssertionError("no difference found");
  }
}
