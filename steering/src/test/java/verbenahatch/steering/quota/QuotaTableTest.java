package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against shares of a rate that together exceed it, also during a network partition. */
class QuotaTableTest {

  private static final double RATE = 40;

  private static double sum(double[] demands, int from, int to, int count) {
    double all = 0;
    for (int i = from; i < to; i++) {
      all += demands[i];
    }
    double sum = 0;
    for (int i = from; i < to; i++) {
      sum += QuotaTable.share(RATE, count, to - from - 1, demands[i], all - demands[i]);
    }
    return sum;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void sharesOnBothSidesOfPartitionFitTheTotal(long seed) {
    Random random = new Random(seed);
    int count = 2 + random.nextInt(20);
    int boundary = random.nextInt(count + 1);
    double[] demands = random.doubles(count, 0, 60).toArray();
    double sum = (boundary > 0 ? sum(demands, 0, boundary, count) : 0);
    sum += boundary < count ? sum(demands, boundary, count, count) : 0;
    assertEquals(1.0, sum, 1e-9, "seed " + seed);
  }

  /** A workspace whose callers all use one host must receive most of its rate there. */
  @Test
  void demandOnOneHostMovesTheRateThere() {
    assertTrue(QuotaTable.share(RATE, 9, 8, RATE, 0) > 0.7);
  }
}
