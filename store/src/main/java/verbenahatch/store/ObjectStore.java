package verbenahatch.store;

import java.time.Duration;
import java.util.List;
import verbenahatch.kernel.Result;

/**
 * Provides access to the platform's object API.
 *
 * <p>Versions are store-wide and increase with each write. Every method blocks for a bounded time,
 * reports failures of the platform as a {@link StoreError} rather than an exception, and may be
 * called concurrently.
 */
public interface ObjectStore extends AutoCloseable {

  /**
   * Reads one object.
   *
   * @param name the name, not null
   * @return the object, or {@link StoreError.NotFound} or {@link StoreError.Unavailable}
   */
  Result<StoredObject, StoreError> get(String name);

  /**
   * Reads all objects whose names start with a prefix.
   *
   * @param prefix the prefix of the names, empty for all objects
   * @return the objects in order of name, possibly none, or a {@link StoreError}
   */
  Result<List<StoredObject>, StoreError> list(String prefix);

  /**
   * Writes an object if its version is the expected one.
   *
   * @param name the name, not null
   * @param value the bytes, at most 1 MB
   * @param expectedVersion the version to replace, 0 to create
   * @param writeId an id unique to this write, by which the writer determines whether the write
   *     took effect if the response is lost
   * @return the object as written, or a {@link StoreError}
   */
  Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId);

  /**
   * Deletes an object if its version is the expected one.
   *
   * @param name the name, not null
   * @param expectedVersion the version to delete
   * @param writeId an id unique to this write
   * @return true, or a {@link StoreError}
   */
  Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId);

  /**
   * Waits for changes. Counts as one call regardless of how long it waits.
   *
   * @param prefix the prefix of the names to watch, possibly empty
   * @param resumeVersion the version after which changes are returned
   * @param maxWait the longest time to wait for a change
   * @return the changes, none if there was no change within {@code maxWait}, or a {@link
   *     StoreError}
   */
  Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait);

  @Override
  void close();
}
