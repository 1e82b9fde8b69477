package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against estimates of one route that are taken for those of another. */
class ServiceTargetsTest {

  private final ServiceTargets targets = new ServiceTargets("capacity", 0.15);

  /**
   * One estimate for short urgent requests and for long reads of the same service put the short
   * ones behind waits that they cannot afford, and took each long read for a cold object.
   */
  @Test
  void routesOfOneServiceHaveTimesOfTheirOwn() {
    for (int i = 0; i < 40; i++) {
      targets.recordTime("hold", CacheState.LIKELY_WARM, i % 5 == 0 ? 720 : 216);
      targets.recordTime("history", CacheState.LIKELY_WARM, i % 5 == 0 ? 2_200 : 660);
    }
    assertEquals(216, targets.times("hold").warmMillis(), 30);
    assertEquals(720, targets.times("hold").coldMillis(), 100);
    assertEquals(660, targets.times("history").warmMillis(), 90);
    assertEquals(2_200, targets.times("history").coldMillis(), 300);
  }

  /** A route that was renamed or added must not fall back to the assumed times of a new service. */
  @Test
  void newRouteUsesTheTimesOfItsService() {
    for (int i = 0; i < 40; i++) {
      targets.recordTime("hold", CacheState.LIKELY_WARM, 200);
    }
    assertSame(targets.times(), targets.times("renamed"));
    assertEquals(200, targets.times("renamed").warmMillis(), 1);
  }

  /** Documents that rename routes for ever must not use memory without bound. */
  @Test
  void numberOfRoutesIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      for (int j = 0; j < 5; j++) {
        targets.recordTime("route" + i, CacheState.COLD, 100);
      }
    }
    assertTrue(targets.times("route9999") == targets.times());
  }
}
