package verbenahatch.store;

/**
 * Describes why a read-modify-write was not completed.
 *
 * @param <R> the type of the reason for which the change itself is refused
 */
public sealed interface UpdateError<R> {

  /**
   * The change refused the current value; nothing was written by the last attempt.
   *
   * @param <R> the type of the reason
   * @param reason the reason for which the change was refused
   */
  record Refused<R>(R reason) implements UpdateError<R> {}

  /**
   * The store failed, or other writers came first in every attempt ({@link StoreError.Conflict}).
   *
   * @param <R> the type of the reason
   * @param error the last error of the store
   */
  record Failed<R>(StoreError error) implements UpdateError<R> {}
}
