package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against rates that are exceeded after a network partition ends, because admissions on its
 * other side are no longer counted although they are still within the window.
 */
class SmoothedAliveFractionTest {

  private static final long WINDOW_MILLIS = 5_000;
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Records a constant fraction every 100 ms and returns the last result. */
  private static double updateEvery100Millis(
      SmoothedAliveFraction smoothed, double fraction, long fromMillis, long toMillis) {
    double last = 0;
    for (long atMillis = fromMillis; atMillis <= toMillis; atMillis += 100) {
      last = smoothed.update(fraction, atMillis * NANOS_PER_MILLI);
    }
    return last;
  }

  @Test
  void fallsAtOnce() {
    SmoothedAliveFraction smoothed = new SmoothedAliveFraction(WINDOW_MILLIS, 1, 0);
    assertEquals(1, updateEvery100Millis(smoothed, 1, 0, 3_000), 1e-9);
    assertEquals(0.3, smoothed.update(0.3, 3_100 * NANOS_PER_MILLI), 1e-9);
  }

  @Test
  void growsWithinOneWindow() {
    SmoothedAliveFraction smoothed = new SmoothedAliveFraction(WINDOW_MILLIS, 0, 0);
    assertEquals(0.5, updateEvery100Millis(smoothed, 1, 0, 2_500), 0.05);
    assertEquals(1, updateEvery100Millis(smoothed, 1, 2_600, 5_200), 0.05);
  }

  @Test
  void admissionsOfEndedPartitionLeaveTheWindowOverTime() {
    SmoothedAliveFraction smoothed = new SmoothedAliveFraction(WINDOW_MILLIS, 1, 0);
    updateEvery100Millis(smoothed, 1, 0, 1_000);
    updateEvery100Millis(smoothed, 0.4, 1_100, 8_000);
    assertEquals(0.4 + 0.6 * 0.4, updateEvery100Millis(smoothed, 1, 8_100, 10_100), 0.05);
  }
}
