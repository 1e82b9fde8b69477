package verbenahatch.steering.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against durations that are read with a wrong unit or accepted although malformed. */
class DurationsTest {

  @ParameterizedTest
  @CsvSource({"1500ms, 1500", "2.5s, 2500", "0ms, 0", "12s, 12000"})
  void readsNumberWithUnit(String text, long millis) {
    assertEquals(OptionalLong.of(millis), Durations.readMillis(text));
  }

  @ParameterizedTest
  @CsvSource({"1500", "s", "-1s", "1 s", "1m", "''", "1e3ms"})
  void refusesOtherForms(String text) {
    assertEquals(OptionalLong.empty(), Durations.readMillis(text));
  }
}
