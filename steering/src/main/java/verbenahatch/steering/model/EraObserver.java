package verbenahatch.steering.model;

/**
 * Receives the era that the store states in its responses.
 *
 * <p>Implementations are thread-safe and do not block.
 */
@FunctionalInterface
public interface EraObserver {

  /** Stands for the era of a response that states none, or an invalid one. */
  long UNKNOWN_ERA = -1;

  /**
   * Records the era of one response.
   *
   * @param statedEra the era, not negative, or {@link #UNKNOWN_ERA}
   * @return the era that the response counts as, not negative
   */
  long observe(long statedEra);
}
