package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.WireProtocol.TargetLoad;

/** Guards against load reports that make a target look better or worse than it is. */
class TargetTest {

  private static final long MILLIS = 1_000_000;

  private final Target target = new Target(Samples.target("t", "a1", "v1"), "a", 0);

  /** A report of a machine that changes its speed often must not count for seconds. */
  @ParameterizedTest
  @CsvSource({"250, 0, 2.5", "250, 300, 1.75", "250, 3000, 1.0", "50, 0, 0.5", "10000, 0, 8"})
  void reportedWorkTimeFades(int percent, long ageMillis, double factor) {
    target.recordLoad(new TargetLoad(1, 0, 3, percent), 0);
    assertEquals(factor, target.workTimeFactor(ageMillis * MILLIS), 0.01);
  }

  /** Replays a machine that changes its speed ten times a second: the estimate stays near it. */
  @Test
  void followsMachineThatChangesItsSpeedOften() {
    Random random = new Random(1);
    double error = 0;
    int reports = 200;
    for (int i = 0; i < reports; i++) {
      int percent = 60 + random.nextInt(120);
      target.recordLoad(new TargetLoad(1, 0, 3, percent), i * 100 * MILLIS);
      error += Math.abs(target.workTimeFactor((i * 100 + 50) * MILLIS) - percent / 100.0);
    }
    assertTrue(error / reports < 0.1, "mean error " + error / reports);
  }
}
