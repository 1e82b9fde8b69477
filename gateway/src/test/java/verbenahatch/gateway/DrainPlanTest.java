package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against attempts that outlast a drain, also when the clock overflows. */
class DrainPlanTest {

  @ParameterizedTest
  @CsvSource({
    "100, 99, true",
    "100, 100, true",
    "100, 101, false",
    "-9223372036854775808, 9223372036854775807, true",
    "9223372036854775807, -9223372036854775808, false"
  })
  void attemptBeginsOnlyIfItsDeadlineFits(long endNanos, long deadlineNanos, boolean begins) {
    assertEquals(begins, new DrainPlan(endNanos).mayBegin(deadlineNanos));
  }
}
