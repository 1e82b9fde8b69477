package verbenahatch.steering;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the target to which this host sent each object last, to count objects that move.
 *
 * <p>Thread-safe. Forgets the objects used longest ago when full; the next request for one of those
 * counts as its first.
 */
final class ObjectMoves {

  /** What the target of a request is to its object. */
  enum Move {
    FIRST,
    STAYED,
    MOVED
  }

  /** Several times the objects of a large workspace; an entry takes about 100 bytes. */
  private static final int CAPACITY = 2_048;

  private final Map<Long, Long> lastTargets =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > CAPACITY;
        }
      };

  /** Records that a request for an object is sent to a target, given the hashes of both. */
  synchronized Move record(long objectHash, long targetHash) {
    Long last = lastTargets.put(objectHash, targetHash);
    if (last == null) {
      return Move.FIRST;
    }
    return last == targetHash ? Move.STAYED : Move.MOVED;
  }
}
