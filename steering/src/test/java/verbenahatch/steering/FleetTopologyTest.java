package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against beats that flood a large fleet or come too late in one. */
class FleetTopologyTest {

  private static FleetTopology shape(int hosts, Set<String> silent) {
    Map<String, String> regions = new HashMap<>();
    for (int i = 0; i < hosts; i++) {
      regions.put(String.format(Locale.ROOT, "h%03d", i), "r" + i % 3);
    }
    return new FleetTopology(regions, silent);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 9, 19})
  void smallFleetHearsAllAtOnePace(int hosts) {
    FleetTopology shape = shape(hosts, Set.of());
    assertTrue(shape.isNear("r0", "h001", "r1"));
    assertEquals(FleetTopology.MIN_BEAT_MILLIS, shape.nearMillis("r0"));
    assertEquals(FleetTopology.MIN_BEAT_MILLIS, shape.farMillis("r0"));
  }

  // A near host is taken for dead after three periods; the terms allow 6 s for the directory. Far
  // hosts are named only where no near one is left, and one of them heard of late is enough.
  @ParameterizedTest
  @CsvSource({"30, 400, 3400", "89, 700, 10400", "541, 4000, 62000"})
  void paceInLargeFleets(int hosts, long near, long far) {
    FleetTopology shape = shape(hosts, Set.of());
    assertFalse(shape.isNear("r0", "h007", "r1"));
    assertTrue(shape.isNear("r0", "h006", "r0"));
    assertTrue(shape.isNear("r2", "h000", "r0"));
    assertTrue(shape.nearMillis("r0") <= near, "near " + shape.nearMillis("r0"));
    assertTrue(shape.farMillis("r0") <= far, "far " + shape.farMillis("r0"));
    double perSecond = (hosts / 3 + 2 + shape.farPerBeat("r0")) * 1_000.0 / shape.nearMillis("r0");
    assertTrue(perSecond < 90, "datagrams a second " + perSecond);
  }

  @Test
  void silentHostIsNoHub() {
    assertFalse(shape(89, Set.of("h000")).isNear("r2", "h000", "r0"));
    assertTrue(shape(89, Set.of("h000")).isNear("r0", "h002", "r2"));
  }
}
