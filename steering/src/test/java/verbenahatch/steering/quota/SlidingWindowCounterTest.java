package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.steering.quota.SlidingWindowCounter.Allowance;

/** Guards against a window that drops events too early, so that a rate is exceeded. */
class SlidingWindowCounterTest {

  private static final long WINDOW_MILLIS = 5_000;

  private static long nanos(long millis) {
    return millis * 1_000_000;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noWindowHoldsMoreThanTheLimit(long seed) {
    Random random = new Random(seed);
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_MILLIS);
    ArrayDeque<Long> admitted = new ArrayDeque<>();
    long now = random.nextLong() / 4;
    for (int i = 0; i < 5_000; i++) {
      now += nanos(random.nextInt(40));
      if (counter.tryAdd(new Allowance(30, 1, 0, 800), now)) {
        admitted.add(now);
      }
      while (now - admitted.peekFirst() >= nanos(WINDOW_MILLIS)) {
        admitted.removeFirst();
      }
      assertTrue(admitted.size() <= 30, "seed " + seed);
      assertTrue(counter.count(now) >= admitted.size(), "seed " + seed);
    }
  }

  /** A query of the quota must tell what is admitted next, and must not use it up. */
  @ParameterizedTest
  @CsvSource({"80, 0.25, 0", "30, 1, 0", "1, 0.5, 0.7", "0, 1, 0.9", "7.9, 1, 0"})
  void remainingEventsAreAddedNext(double limit, double share, double rounding) {
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_MILLIS);
    Allowance allowance = new Allowance(limit, share, rounding, 800);
    for (int i = 0; i < 5; i++) {
      int remaining = counter.remaining(allowance, nanos(i * 500));
      assertEquals(remaining, counter.remaining(allowance, nanos(i * 500)));
      int added = 0;
      while (added < remaining / 2 && counter.tryAdd(allowance, nanos(i * 500))) {
        added++;
      }
      assertEquals(remaining - added, counter.remaining(allowance, nanos(i * 500)));
    }
    int remaining = counter.remaining(allowance, nanos(2_500));
    for (int i = 0; i < remaining; i++) {
      assertTrue(counter.tryAdd(allowance, nanos(2_500)));
    }
    assertFalse(counter.tryAdd(allowance, nanos(2_500)));
  }

  @Test
  void eventsExpireAfterTheWindow() {
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_MILLIS);
    assertTrue(counter.tryAdd(new Allowance(1, 1, 0, 800), nanos(0)));
    assertFalse(counter.tryAdd(new Allowance(1, 1, 0, 800), nanos(4_999)));
    assertTrue(counter.tryAdd(new Allowance(1, 1, 0, 800), nanos(5_300)));
    assertEquals(0, counter.count(nanos(60_000)));
  }

  /** A host must not use the shares that others have of the headroom. */
  @Test
  void recentEventsTakeOnlyTheirShare() {
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_MILLIS);
    int first = 0;
    while (counter.tryAdd(new Allowance(80, 0.25, 0, 800), nanos(0))) {
      first++;
    }
    int second = 0;
    while (counter.tryAdd(new Allowance(80, 0.25, 0, 800), nanos(2_000))) {
      second++;
    }
    assertEquals(20, first);
    assertEquals(15, second);
  }

  @ParameterizedTest
  @ValueSource(doubles = {-3, 0, 0.99})
  void nothingIsAddedBelowOne(double limit) {
    assertFalse(
        new SlidingWindowCounter(WINDOW_MILLIS).tryAdd(new Allowance(limit, 1, 0, 800), nanos(1)));
  }

  /** In a large fleet the share of a host is less than one request. */
  @ParameterizedTest
  @CsvSource({"0.5, 0, false", "0.5, 0.6, true", "0.01, 0, false"})
  void fractionIsRoundedByTheDraw(double share, double rounding, boolean added) {
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW_MILLIS);
    assertEquals(added, counter.tryAdd(new Allowance(1, share, rounding, 800), nanos(1)));
  }
}
