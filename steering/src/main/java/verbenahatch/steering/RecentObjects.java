package verbenahatch.steering;

/**
 * Holds the objects that a target handled most recently for requests of this host.
 *
 * <p>Thread-safe. Evicts the least recently used object when full.
 */
final class RecentObjects {

  /** Targets cache a few dozen objects, and other hosts of the region send further ones. */
  private static final int CAPACITY = 24;

  private final long[] objects = new long[CAPACITY];
  private int size;

  /** Records an object, identified by its hash, as the most recently used one. */
  synchronized void add(long object) {
    int index = 0;
    while (index < size && objects[index] != object) {
      index++;
    }
    if (index == size && size < CAPACITY) {
      size++;
    }
    int shifted = Math.min(index, CAPACITY - 1);
    System.arraycopy(objects, 0, objects, 1, shifted);
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
