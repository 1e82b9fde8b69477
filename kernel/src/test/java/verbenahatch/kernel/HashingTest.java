package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hashes that assign many objects to few targets. */
class HashingTest {

  @Test
  void hashDependsOnAllCharacters() {
    assertEquals(Hashing.of("o1"), Hashing.of("o" + 1));
    assertNotEquals(Hashing.of("o1"), Hashing.of("o2"));
    assertNotEquals(Hashing.of("o1"), Hashing.of("1o"));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 10})
  void fractionsAreUniformlyDistributed(int buckets) {
    int[] counts = new int[buckets];
    int samples = 10_000;
    for (int i = 0; i < samples; i++) {
      double fraction = Hashing.toFraction(Hashing.of("object " + i));
      assertTrue(fraction >= 0 && fraction < 1);
      counts[(int) (fraction * buckets)]++;
    }
    double mean = samples / (double) buckets;
    for (int count : counts) {
      // Five standard deviations of a uniform distribution.
      assertEquals(mean, count, 5 * Math.sqrt(mean));
    }
  }
}
