package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against timers that fire before their deadline. */
class TimerDelayTest {

  private static final long DEADLINE_NANOS = 2_500_000_000L;

  @ParameterizedTest
  @CsvSource({
    "0, 2500",
    "1, 2500",
    "999999, 2500",
    "1000000, 2499",
    "2498999999, 2",
    "2499000000, 1",
    "2499999999, 1"
  })
  void delayEndsAtOrAfterDeadline(long nowNanos, long delayMillis) {
    assertEquals(delayMillis, TimerDelay.millisUntil(DEADLINE_NANOS, nowNanos));
  }

  @ParameterizedTest
  @ValueSource(longs = {2_500_000_000L, 2_500_000_001L, 9_000_000_000L})
  void delayAfterDeadlineIsOneMillisecond(long nowNanos) {
    assertEquals(1, TimerDelay.millisUntil(DEADLINE_NANOS, nowNanos));
  }

  /** Readings of the monotonic clock may be negative and may overflow. */
  @ParameterizedTest
  @ValueSource(longs = {-500_000, Long.MAX_VALUE - 10})
  void delayDependsOnDifferenceOnly(long nowNanos) {
    assertEquals(3, TimerDelay.millisUntil(nowNanos + 2_000_001, nowNanos));
  }
}
