package verbenahatch.standins;

/**
 * States the faults of the stand-in platform that are switched on.
 *
 * @param down refuse every call and end waiting watches
 * @param delayMillis time that each call waits before it takes effect, in milliseconds; watches
 *     excepted
 * @param staleReads answer reads from the state at the time when this was switched on
 * @param loseAnswers number of coming writes that take effect but whose answers are lost
 * @param loseRequests number of coming writes that are lost before they take effect
 * @param silent hold the answers of connections that were open when this was switched on; new
 *     connections work; only over HTTP
 */
public record StoreFaults(
    boolean down,
    long delayMillis,
    boolean staleReads,
    int loseAnswers,
    int loseRequests,
    boolean silent) {

  /** No fault. */
  public static final StoreFaults NONE = new StoreFaults(false, 0, false, 0, 0, false);

  /** Every call is refused. */
  public static final StoreFaults DOWN = new StoreFaults(true, 0, false, 0, 0, false);

  /**
   * Loses the answers of coming writes.
   *
   * @param count the number of writes
   * @return faults with only this one
   */
  public static StoreFaults losingAnswers(int count) {
    return new StoreFaults(false, 0, false, count, 0, false);
  }

  /**
   * Loses coming writes before they take effect.
   *
   * @param count the number of writes
   * @return faults with only this one
   */
  public static StoreFaults losingRequests(int count) {
    return new StoreFaults(false, 0, false, 0, count, false);
  }

  /**
   * Delays each call.
   *
   * @param millis the delay in milliseconds
   * @return faults with only this one
   */
  public static StoreFaults slow(long millis) {
    return new StoreFaults(false, millis, false, 0, 0, false);
  }

  /**
   * Answers reads from the present state even after later writes.
   *
   * @return faults with only this one
   */
  public static StoreFaults stale() {
    return new StoreFaults(false, 0, true, 0, 0, false);
  }
}
