package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against eviction of other objects than the least recently used ones. */
class RecentObjectsTest {

  private static final int CAPACITY = 24;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void containsMostRecentlyUsedObjects(long seed) {
    Random random = new Random(seed);
    RecentObjects recent = new RecentObjects();
    Deque<Long> expected = new ArrayDeque<>();
    for (int i = 0; i < 500; i++) {
      long object = random.nextInt(40);
      recent.add(object);
      expected.remove(object);
      expected.addFirst(object);
      if (expected.size() > CAPACITY) {
        expected.removeLast();
      }
      for (long each = 0; each < 40; each++) {
        assertEquals(expected.contains(each), recent.contains(each), "seed " + seed);
      }
    }
    assertTrue(expected.size() == CAPACITY);
  }
}
