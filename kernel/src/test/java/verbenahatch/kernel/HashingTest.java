package verbenahatch.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against hashes that put many objects on few targets. */
class HashingTest {

  @Test
  void hashDependsOnAllCharacters() {
    assertEquals(Hashing.of("o1"), Hashing.of("o" + 1));
    assertNotEquals(Hashing.of("o1"), Hashing.of("o2"));
    assertNotEquals(Hashing.of("o1"), Hashing.of("1o"));
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3, 10})
  void unitSpreadsEvenly(int parts) {
    int[] counts = new int[parts];
    int all = 10_000;
    for (int i = 0; i < all; i++) {
      double position = Hashing.toFraction(Hashing.of("object " + i));
      assertTrue(position >= 0 && position < 1);
      counts[(int) (position * parts)]++;
    }
    double mean = all / (double) parts;
    for (int count : counts) {
      // Five standard deviations of an even draw.
      assertEquals(mean, count, 5 * Math.sqrt(mean));
    }
  }
}
