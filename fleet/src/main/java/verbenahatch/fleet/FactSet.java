package verbenahatch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the facts known to this host in the order of their arrival.
 *
 * <p>The position in that order is the cursor with which peers request the facts that they lack.
 * Not thread-safe.
 */
final class FactSet {

  private final Map<Fact, Integer> positions = new HashMap<>();
  private final List<Fact> log = new ArrayList<>();

  /**
   * Adds a fact; does nothing if it is known.
   *
   * @param fact the fact to add
   * @return true if it was not known before
   */
  boolean add(Fact fact) {
    if (positions.putIfAbsent(fact, log.size()) != null) {
      return false;
    }
    log.add(fact);
    return true;
  }

  boolean contains(Fact fact) {
    return positions.containsKey(fact);
  }

  /** Returns the position of a fact from 0 on, or -1 if it is not known. */
  int position(Fact fact) {
    return positions.getOrDefault(fact, -1);
  }

  /** Returns up to {@code limit} facts from a position on; a position out of range is clamped. */
  List<Fact> after(long cursor, int limit) {
    int start = (int) Math.min(Math.max(cursor, 0), log.size());
    int end = Math.min(log.size(), start + limit);
    return List.copyOf(log.subList(start, end));
  }

  int size() {
    return log.size();
  }
}
