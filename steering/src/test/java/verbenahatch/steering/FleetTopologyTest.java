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

/** Guards against heartbeats that overload a large fleet, or arrive too late in one. */
class FleetTopologyTest {

  private static FleetTopology topology(int hosts, Set<String> timedOut) {
    Map<String, String> regions = new HashMap<>();
    for (int i = 0; i < hosts; i++) {
      regions.put(String.format(Locale.ROOT, "h%03d", i), "r" + i % 3);
    }
    return new FleetTopology(regions, timedOut);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 9, 19})
  void smallFleetUsesOnePeriodForAllHosts(int hosts) {
    FleetTopology topology = topology(hosts, Set.of());
    assertTrue(topology.isNear("r0", "h001", "r1"));
    assertEquals(FleetTopology.MIN_HEARTBEAT_MILLIS, topology.nearPeriodMillis("r0"));
    assertEquals(FleetTopology.MIN_HEARTBEAT_MILLIS, topology.farPeriodMillis("r0"));
  }

  // A near host times out after three periods, and the directory must omit it within 6 s. Far hosts
  // are listed only where no near one is left, and a recent heartbeat of one of them is enough.
  @ParameterizedTest
  @CsvSource({"30, 400, 3400", "89, 700, 10400", "541, 4000, 62000"})
  void boundsPeriodsAndDatagramRateInLargeFleets(int hosts, long maxNearMillis, long maxFarMillis) {
    FleetTopology topology = topology(hosts, Set.of());
    assertFalse(topology.isNear("r0", "h007", "r1"));
    assertTrue(topology.isNear("r0", "h006", "r0"));
    assertTrue(topology.isNear("r2", "h000", "r0"));
    assertTrue(
        topology.nearPeriodMillis("r0") <= maxNearMillis,
        "near " + topology.nearPeriodMillis("r0"));
    assertTrue(
        topology.farPeriodMillis("r0") <= maxFarMillis, "far " + topology.farPeriodMillis("r0"));
    double perSecond =
        (hosts / 3 + 2 + topology.farHostsPerHeartbeat("r0"))
            * 1_000.0
            / topology.nearPeriodMillis("r0");
    assertTrue(perSecond < 90, "datagrams a second " + perSecond);
  }

  @Test
  void timedOutHostIsNoHub() {
    assertFalse(topology(89, Set.of("h000")).isNear("r2", "h000", "r0"));
    assertTrue(topology(89, Set.of("h000")).isNear("r0", "h002", "r2"));
  }
}
