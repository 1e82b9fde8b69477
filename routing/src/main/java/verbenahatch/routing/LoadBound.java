package verbenahatch.routing;

/**
 * Decides whether a target may take one more request without exceeding the mean load by too much.
 *
 * <p>Answers hot objects: the target of an object with many requests gets no more than its part of
 * the load of all targets, in proportion to its size, times {@link #FACTOR}. The bound is a whole
 * number of requests and at least 1. The bounds of all targets together exceed their load, so that
 * at least one target always has room.
 */
public final class LoadBound {

  /** Load of a target, relative to the mean load, above which it is skipped. */
  public static final double FACTOR = 1.25;

  /** Keeps a bound that is a whole number from being rounded up to the next one. */
  private static final double ROUNDING_ERROR = 1e-9;

  private final double requestsPerSize;

  /**
   * Creates the bound for one more request.
   *
   * @param totalLoad the number of requests at all usable targets
   * @param totalSize the sum of the sizes of all usable targets, greater than 0
   */
  public LoadBound(double totalLoad, long totalSize) {
    this.requestsPerSize = FACTOR * (totalLoad + 1) / totalSize;
  }

  /**
   * Returns whether a target may take one more request.
   *
   * @param load the number of requests at the target; the fraction of an estimate is ignored
   * @param size the size of the target
   */
  public boolean hasRoom(double load, int size) {
    return load < Math.ceil(requestsPerSize * size - ROUNDING_ERROR);
  }
}
