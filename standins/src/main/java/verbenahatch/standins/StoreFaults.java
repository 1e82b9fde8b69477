package verbenahatch.standins;

/**
 * Describes which faults of the stand-in platform are active.
 *
 * @param down whether every call is refused and waiting watches end
 * @param delayMillis delay of each call other than a watch before it takes effect, in milliseconds;
 *     0 for none
 * @param staleReads whether reads return the state as of the moment when this fault became active
 * @param loseAnswers number of subsequent writes that take effect but whose responses are lost
 * @param loseRequests number of subsequent writes that are lost before they take effect
 * @param silent whether connections that were open when this fault became active get no responses;
 *     new connections work; applies only over HTTP
 */
public record StoreFaults(
    boolean down,
    long delayMillis,
    boolean staleReads,
    int loseAnswers,
    int loseRequests,
    boolean silent) {

  /** No faults. */
  public static final StoreFaults NONE = new StoreFaults(false, 0, false, 0, 0, false);

  /** Refuses every call. */
  public static final StoreFaults DOWN = new StoreFaults(true, 0, false, 0, 0, false);

  /**
   * Returns faults that lose the responses of subsequent writes, which take effect.
   *
   * @param count the number of writes, at least 0
   * @return faults with no other fault active
   */
  public static StoreFaults losingAnswers(int count) {
    return new StoreFaults(false, 0, false, count, 0, false);
  }

  /**
   * Returns faults that lose subsequent writes before they take effect.
   *
   * @param count the number of writes, at least 0
   * @return faults with no other fault active
   */
  public static StoreFaults losingRequests(int count) {
    return new StoreFaults(false, 0, false, 0, count, false);
  }

  /**
   * Returns faults that delay each call other than a watch.
   *
   * @param millis the delay in milliseconds, at least 0
   * @return faults with no other fault active
   */
  public static StoreFaults slow(long millis) {
    return new StoreFaults(false, millis, false, 0, 0, false);
  }

  /**
   * Returns faults that make reads return the state as of now, even after later writes.
   *
   * @return faults with no other fault active
   */
  public static StoreFaults stale() {
    return new StoreFaults(false, 0, true, 0, 0, false);
  }
}
