package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import verbenahatch.routing.RegionChooser.Candidate;

/** Guards against sudden shifts between regions and against load that oscillates. */
class RegionChooserTest {

  private static final long STEP_NANOS = 100_000_000L;

  private final RegionChooser chooser = new RegionChooser(0);

  private static Candidate own(double utilization) {
    return new Candidate("own", -1, 100, utilization, 1);
  }

  private static final List<Candidate> OTHERS =
      List.of(
          new Candidate("far", 40, 100, 0, 1),
          new Candidate("near", 20, 100, 0, 1),
          new Candidate("empty", 1, 0, 0, 1));

  @Test
  void prefersOwnRegionWhileItHasHeadroom() {
    assertEquals("own", chooser.order(own(0.5), OTHERS, 0, STEP_NANOS).get(0));
    assertEquals(3, chooser.order(own(0.5), OTHERS, 0, STEP_NANOS).size());
  }

  @Test
  void spillGrowsByTenPercentPerSecondAndStaysBetweenWatermarks() {
    for (int i = 1; i <= 10; i++) {
      chooser.order(own(1), OTHERS, 0, i * STEP_NANOS);
    }
    assertEquals(0.1, chooser.spillFraction(), 0.001);
    for (int i = 11; i <= 100; i++) {
      chooser.order(own(0.8), OTHERS, 0, i * STEP_NANOS);
    }
    assertEquals(0.1, chooser.spillFraction(), 0.001);
    for (int i = 101; i <= 105; i++) {
      chooser.order(own(0.6), OTHERS, 0, i * STEP_NANOS);
    }
    assertEquals(0.05, chooser.spillFraction(), 0.001);
  }

  @Test
  void regionWithoutTargetsIsSkippedAtOnce() {
    Candidate withoutTargets = new Candidate("own", -1, 0, 0, 1);
    assertEquals(2, chooser.order(withoutTargets, OTHERS, 0.9, STEP_NANOS).size());
  }

  @Test
  void dividesByHeadroomOfLinkAndCapacity() {
    Candidate withoutTargets = new Candidate("own", -1, 0, 0, 1);
    List<Candidate> others =
        List.of(new Candidate("a", 20, 100, 0, 0.2), new Candidate("b", 40, 100, 0.2, 1));
    int first = 0;
    for (int i = 0; i < 100; i++) {
      first +=
          chooser.order(withoutTargets, others, i / 100.0, STEP_NANOS).get(0).equals("a") ? 1 : 0;
    }
    assertEquals(20, first, 1);
  }

  @Test
  void pacerAllowsTenthOfCapacityPerSecond() {
    SpillPacer pacer = new SpillPacer(0);
    int inFlight = 0;
    for (int i = 1; i <= 30; i++) {
      while (pacer.allows(inFlight, 100, 2, i * STEP_NANOS)) {
        inFlight++;
      }
    }
    assertEquals(20, inFlight, 1);
    assertFalse(pacer.allows(inFlight, 100, 2, 30 * STEP_NANOS));
    for (int i = 31; i <= 100; i++) {
      pacer.allows(0, 100, 2, i * STEP_NANOS);
    }
    assertFalse(pacer.allows(5, 100, 2, 101 * STEP_NANOS));
    assertTrue(pacer.allows(4, 100, 2, 101 * STEP_NANOS));
  }
}
