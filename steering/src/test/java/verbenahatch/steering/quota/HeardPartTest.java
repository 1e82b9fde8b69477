package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Guards against admissions on the other side of a cut that are forgotten when it heals. */
class HeardPartTest {

  private static final long WINDOW_MILLIS = 5_000;
  private static final long MILLI = 1_000_000;

  /** Feeds a constant part every 100 ms and returns the last result. */
  private static double feed(HeardPart part, double heard, long fromMillis, long toMillis) {
    double result = 0;
    for (long at = fromMillis; at <= toMillis; at += 100) {
      result = part.update(heard, at * MILLI);
    }
    return result;
  }

  @Test
  void fallsAtOnce() {
    HeardPart part = new HeardPart(WINDOW_MILLIS, 1, 0);
    assertEquals(1, feed(part, 1, 0, 3_000), 1e-9);
    assertEquals(0.3, part.update(0.3, 3_100 * MILLI), 1e-9);
  }

  @Test
  void growsWithinOneWindow() {
    HeardPart part = new HeardPart(WINDOW_MILLIS, 0, 0);
    assertEquals(0.5, feed(part, 1, 0, 2_500), 0.05);
    assertEquals(1, feed(part, 1, 2_600, 5_200), 0.05);
  }

  @Test
  void healedCutCountsByTime() {
    HeardPart part = new HeardPart(WINDOW_MILLIS, 1, 0);
    feed(part, 1, 0, 1_000);
    feed(part, 0.4, 1_100, 8_000);
    assertEquals(0.4 + 0.6 * 0.4, feed(part, 1, 8_100, 10_100), 0.05);
  }
}
