package verbenahatch.steering.model;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import verbenahatch.kernel.Result;

/**
 * Supplies the objects of one kind and their changes.
 *
 * <p>Both methods block for a bounded time, never throw for a failure of the platform, and skip an
 * object that cannot be decoded.
 *
 * @param <T> the type of the objects
 */
public interface Feed<T> {

  /**
   * Reads all objects.
   *
   * @return the objects by name, or why they could not be read
   */
  Result<Changes<T>, FeedError> list();

  /**
   * Waits for changes; counts as one call to the store, however long it waits.
   *
   * <p>The result may belong to a later era than the revision; then it is not a change after it,
   * and the caller must list again.
   *
   * @param revision the revision after which changes are returned
   * @param maxWait the maximum time to wait
   * @return the changes, possibly none, or why they could not be read
   */
  Result<Changes<T>, FeedError> watch(StoreRevision revision, Duration maxWait);

  /**
   * Holds the objects that were written and the names of those that were removed.
   *
   * <p>An object that exists but cannot be decoded counts as removed.
   *
   * @param <T> the type of the objects
   * @param written the objects by name
   * @param gone the names of the objects that were removed or cannot be decoded; empty in the
   *     result of {@link Feed#list}
   * @param revision the revision to watch from
   * @param newestChange the revision of the newest change among the objects, as far as known; at
   *     most {@code revision}
   */
  record Changes<T>(
      Map<String, T> written,
      Set<String> gone,
      StoreRevision revision,
      StoreRevision newestChange) {}

  /** The reason why a feed returned no result. */
  sealed interface FeedError {

    /** The changes since the revision are no longer kept; the caller must list again. */
    record HistoryGone() implements FeedError {}

    /**
     * The store did not respond or refused the call.
     *
     * @param reason a description of the failure
     */
    record Unavailable(String reason) implements FeedError {}
  }
}
