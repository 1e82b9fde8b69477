package verbenahatch.steering.model;

/**
 * Holds a revision of the store with the era in which the store issued it.
 *
 * <p>A store that comes back from a backup issues revisions again, in a new era. Revisions of a
 * later era are therefore newer, whatever their numbers. A store that states no era has era 0.
 *
 * @param era the era, not negative
 * @param number the revision within the era, not negative
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {

  /** Precedes every revision of a store. */
  public static final StoreRevision NONE = new StoreRevision(0, 0);

  @Override
  public int compareTo(StoreRevision other) {
    int byEra = Long.compare(era, other.era);
    return byEra == 0 ? Long.compare(number, other.number) : byEra;
  }

  /**
   * Returns whether this revision was issued after another one.
   *
   * @param other the other revision
   * @return true if it is newer, false if it is older or equal
   */
  public boolean isAfter(StoreRevision other) {
    return compareTo(other) > 0;
  }

  /**
   * Returns the newer of two revisions.
   *
   * @param first a revision
   * @param second a revision
   * @return the first one if they are equal
   */
  public static StoreRevision max(StoreRevision first, StoreRevision second) {
    return second.isAfter(first) ? second : first;
  }
}
