package verbenahatch.steering;

/**
 * Remembers the objects that a target handled last, as far as this host sent them.
 *
 * <p>Thread-safe. The oldest object is forgotten first.
 */
final class RecentObjects {

  /** Targets keep a few dozen objects; hosts of a region together send more than one knows of. */
  private static final int SIZE = 24;

  private final long[] objects = new long[SIZE];
  private int size;

  /** Puts an object first. */
  synchronized void handled(long object) {
    int place = 0;
    while (place < size && objects[place] != object) {
      place++;
    }
    if (place == size && size < SIZE) {
      size++;
    }
    int end = Math.min(place, SIZE - 1);
    System.arraycopy(objects, 0, objects, 1, end);
    objects[0] = object;
  }

  synchronized boolean contains(long object) {
    for (int i = 0; i < size; i++) {
      if (objects[i] == object) {
        return true;
      }
    }
    return false;
  }
}
