package verbenahatch.steering.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.kernel.Result;
import verbenahatch.model.Fault;

/** Guards against mistyped settings that are accepted. */
class SettingsReaderTest {

  private static final String VALID =
      """
      // a comment
      {"host": "h", "zone": "z", "region": "r", "callers": "10.0.0.1:80",
       "readiness": "10.0.0.1:81", "directory": "10.0.0.1:82", "internalAddress": "10.0.0.1",
       "peerPort": 7000, "metricsPort": 9464, "store": "10.0.0.9:80", "seeds": ["10.0.0.2:83"],
       "regionsByZone": {"z": "r"}, "firstStart": false, "stopTime": "6s", "directoryTimeToLive": "5s",
       "quotaWindow": "5s", "quotaOvershoot": 0.1, "quotaSlack": 20, "maxRegionShift": 0.15,
       "retryRatio": 0.2, "retrySlack": 56, "canaryShare": 0.1, "canarySlack": 50}
      """;

  private static Result<SteeringSettings, List<Fault>> read(String text) {
    return SettingsReader.read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsValidSettings() {
    SteeringSettings settings = read(VALID).get();
    assertEquals("r", settings.region());
    assertEquals(6_000, settings.bounds().stopMillis());
    assertEquals(List.of("10.0.0.2:83"), settings.seeds());
  }

  @ParameterizedTest
  @CsvSource({
    "'\"callers\": \"10.0.0.1:80\"', '\"callers\": \"10.0.0.1\"', callers",
    "'\"stopTime\": \"6s\"', '\"stopTime\": 6', stopTime",
    "'\"peerPort\": 7000', '\"peerPort\": 70000', peerPort",
    "'\"firstStart\": false', '\"firstStart\": 0', firstStart",
    "'\"host\": \"h\"', '\"hosts\": \"h\"', hosts",
    "'\"retryRatio\": 0.2', '\"retryRatio\": -1', retryRatio"
  })
  void namesTheFaultySetting(String original, String replacement, String name) {
    Result<SteeringSettings, List<Fault>> result = read(VALID.replace(original, replacement));
    assertFalse(result.isOk());
    assertTrue(result.error().stream().anyMatch(fault -> fault.path().equals(name)));
  }

  /** Guards against a host that does not start on a platform that lacks one of the bounds. */
  @ParameterizedTest
  @CsvSource({
    "'\"seeds\": [\"10.0.0.2:83\"]', seeds",
    "'\"stopTime\": \"6s\"', stopTime",
    "'\"directoryTimeToLive\": \"5s\"', directoryTimeToLive",
    "'\"quotaWindow\": \"5s\"', quotaWindow",
    "'\"quotaOvershoot\": 0.1', quotaOvershoot",
    "'\"quotaSlack\": 20', quotaSlack",
    "'\"maxRegionShift\": 0.15', maxRegionShift",
    "'\"retryRatio\": 0.2', retryRatio",
    "'\"retrySlack\": 56', retrySlack",
    "'\"canaryShare\": 0.1', canaryShare",
    "'\"canarySlack\": 50', canarySlack"
  })
  void startsWithoutAnOptionalSetting(String original, String name) {
    assertTrue(VALID.contains(original));
    assertTrue(read(VALID.replace(original, "\"" + name + "\": null")).isOk());
    String removed =
        VALID.replace(original, "").replaceAll(",\\s*,", ",").replaceAll(",\\s*}", "}");
    assertTrue(read(removed).isOk());
  }

  /** Guards against a bound of zero where the operators named none. */
  @Test
  void absentBoundsDoNotStopTheHostFromServing() {
    String text = VALID.replaceAll("(?s)\"stopTime\".*", "\"stopTime\": null}");
    SteeringSettings.Bounds bounds = read(text).get().bounds();
    assertEquals(5_000, bounds.stopMillis());
    assertEquals(5_000, bounds.quotaWindowMillis());
    assertEquals(Long.MAX_VALUE, bounds.directoryTtlMillis());
    assertEquals(1, bounds.maxRegionShift());
    assertEquals(1, bounds.retryRatio());
    assertEquals(0.1, bounds.canaryShare());
  }

  /** All faults must be reported at once, so that an operator can correct them together. */
  @Test
  void listsEveryFault() {
    String text = "{\"quotaSlack\": \"a\", \"retryRatio\": -1, \"stopTime\": 6}";
    assertEquals(15, read(text).error().size());
  }
}
