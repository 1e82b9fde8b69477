package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProcessingTimesTest {

  /** Requests of a service that a host of a large fleet sees in half a minute. */
  private static final int REQUESTS = 60;

  private static final double SPREAD = 0.15;

  private static double draw(Random random, double meanMillis) {
    return meanMillis * Math.max(0.5, 1 + SPREAD * random.nextGaussian());
  }

  /**
   * Replays a large fleet: each host sees few requests, the first visits of objects are cold, and
   * what a host takes for cold was often warmed by another one. The estimates stayed at their
   * initial values and moved towards each other, so hosts spread objects over all targets.
   */
  @ParameterizedTest
  @CsvSource({
    "264, 880, 1",
    "264, 880, 2",
    "264, 880, 3",
    "72, 240, 4",
    "72, 240, 5",
    "500, 1600, 6",
    "480, 1600, 7",
    "30, 100, 8",
    "2000, 6000, 9"
  })
  void learnsBothTimesFromFewRequests(double warm, double cold, long seed) {
    ProcessingTimes times = new ProcessingTimes();
    Random random = new Random(seed);
    for (int i = 0; i < REQUESTS; i++) {
      // Half of the first ten requests and a fifth of the others meet a cold object.
      boolean isCold = random.nextDouble() < (i < 10 ? 0.5 : 0.2);
      CacheState expected = random.nextBoolean() ? CacheState.COLD : CacheState.LIKELY_WARM;
      times.record(expected, draw(random, isCold ? cold : warm));
    }
    assertEquals(warm, times.warmMillis(), warm * 0.3);
    assertEquals(cold, times.coldMillis(), cold * 0.3);
  }

  /**
   * A service without a cache must not keep its requests at the targets that come first by hash.
   */
  @Test
  void assumesNoExtraTimeIfColdRequestsAreAsFast() {
    ProcessingTimes times = new ProcessingTimes();
    Random random = new Random(1);
    for (int i = 0; i < REQUESTS; i++) {
      times.record(CacheState.COLD, draw(random, 100));
    }
    assertEquals(100, times.warmMillis(), 30);
    assertTrue(times.coldMillis() < 150, times.coldMillis() + " ms");
  }

  /** The time of a first visit is no sign of a slow target. */
  @Test
  void comparesTimeWithTheNearerEstimate() {
    ProcessingTimes times = new ProcessingTimes();
    times.record(CacheState.COLD, 880);
    times.record(CacheState.WARM, 264);
    assertEquals(880, times.nearestMillis(800));
    assertEquals(264, times.nearestMillis(300));
  }
}
