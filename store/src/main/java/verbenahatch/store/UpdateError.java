package verbenahatch.store;

/**
 * Tells why a read-modify-write did not finish.
 *
 * @param <R> the type of the refusals of the change itself
 */
public sealed interface UpdateError<R> {

  /**
   * The change refused the current value; nothing was written by the last attempt.
   *
   * @param <R> the type of the refusal
   * @param reason the refusal
   */
  record Refused<R>(R reason) implements UpdateError<R> {}

  /**
   * The store failed, or other writers won every attempt ({@link StoreError.Conflict}).
   *
   * @param <R> the type of the refusal
   * @param error the last error of the store
   */
  record Failed<R>(StoreError error) implements UpdateError<R> {}
}
