package verbenahatch.store;

import java.util.Arrays;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;
import verbenahatch.kernel.Result;

/**
 * Writes conditionally and settles writes whose response was lost, which means that it determines
 * whether they took effect. Thread-safe; every method blocks for a bounded number of calls.
 *
 * <p>A write whose response was lost is settled by its write id. While the object still has the
 * expected version, the same write is sent again with the same id: because it is conditional, it
 * takes effect at most once even if the first request arrives late.
 */
public final class StoreWriter {

  /** Maximum number of read and retry rounds to settle one write. */
  private static final int SETTLE_ATTEMPTS = 4;

  /** Attempts of a read-modify-write before it fails with a conflict. */
  private static final int UPDATE_ATTEMPTS = 8;

  /** Upper bound of the first random backoff between attempts; it doubles with each attempt. */
  private static final long INITIAL_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  private final ObjectStore store;
  private final RandomGenerator random;
  private final LongConsumer sleepNanos;

  /**
   * Creates a writer that blocks its thread for the backoff between attempts.
   *
   * @param store the store to write to
   */
  public StoreWriter(ObjectStore store) {
    this(store, () -> ThreadLocalRandom.current().nextLong(), LockSupport::parkNanos);
  }

  /**
   * Creates a writer with a given random source and sleep function.
   *
   * @param store the store to write to
   * @param random the source of the random backoff times
   * @param sleepNanos waits for the given number of nanoseconds
   */
  public StoreWriter(ObjectStore store, RandomGenerator random, LongConsumer sleepNanos) {
    this.store = store;
    this.random = random;
    this.sleepNanos = sleepNanos;
  }

  /**
   * Creates an id for a write.
   *
   * @return a random UUID
   */
  public static String newWriteId() {
    return UUID.randomUUID().toString();
  }

  /**
   * Writes an object if its version is the expected one, and settles the write if its response is
   * lost.
   *
   * @param name the name of the object
   * @param value the bytes, at most 1 MB
   * @param expectedVersion the version to replace, 0 to create
   * @return the object as written; {@link StoreError.Unsettled} only if the store responded to none
   *     of the attempts, or if another write came in between
   */
  public Result<StoredObject, StoreError> put(String name, byte[] value, long expectedVersion) {
    return put(name, value, expectedVersion, newWriteId());
  }

  /**
   * Writes an object as {@link #put(String, byte[], long)} does, with a given write id.
   *
   * @param name the name of the object
   * @param value the bytes, at most 1 MB
   * @param expectedVersion the version to replace, 0 to create
   * @param writeId an id unique to this write
   * @return the object as written, or a {@link StoreError}
   */
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    Result<StoredObject, StoreError> result = store.put(name, value, expectedVersion, writeId);
    if (result.isOk() || !(result.error() instanceof StoreError.Unsettled)) {
      return result;
    }
    return settle(name, value, expectedVersion, writeId);
  }

  /**
   * Determines whether a write with a lost response took effect, and retries it if it still can.
   *
   * @param name the name of the object
   * @param value the bytes of the write
   * @param expectedVersion the expected version of the write
   * @param writeId the id of the write
   * @return the object if the write took effect; {@link StoreError.Unsettled} if that is still not
   *     known, which includes the case that a later write replaced the object; {@link
   *     StoreError.Invalid} if the store rejects the retry
   */
  public Result<StoredObject, StoreError> settle(
      String name, byte[] value, long expectedVersion, String writeId) {
    for (int attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> stored = store.get(name);
      if (stored.isOk() && stored.get().writeId().equals(writeId)) {
        return stored;
      }
      if (stored.isOk() && stored.get().version() > expectedVersion) {
        break;
      }
      if (canStillTakeEffect(stored, expectedVersion)) {
        Result<StoredObject, StoreError> retried = store.put(name, value, expectedVersion, writeId);
        if (retried.isOk() || retried.error() instanceof StoreError.Invalid) {
          return retried;
        }
      }
      backOff(attempt);
    }
    return Result.err(new StoreError.Unsettled(name, writeId));
  }

  /**
   * Deletes an object if its version is the expected one, and settles the deletion if its response
   * is lost.
   *
   * @param name the name of the object
   * @param expectedVersion the version to delete
   * @return true, or a {@link StoreError}
   */
  public Result<Boolean, StoreError> delete(String name, long expectedVersion) {
    String writeId = newWriteId();
    Result<Boolean, StoreError> result = store.delete(name, expectedVersion, writeId);
    if (result.isOk() || !(result.error() instanceof StoreError.Unsettled)) {
      return result;
    }
    for (int attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> stored = store.get(name);
      if (!stored.isOk() && stored.error() instanceof StoreError.NotFound) {
        return Result.ok(true);
      }
      if (canStillTakeEffect(stored, expectedVersion)) {
        Result<Boolean, StoreError> retried = store.delete(name, expectedVersion, writeId);
        if (retried.isOk() || retried.error() instanceof StoreError.NotFound) {
          return Result.ok(true);
        }
      }
      backOff(attempt);
    }
    return Result.err(new StoreError.Unsettled(name, writeId));
  }

  /**
   * Reads an object, changes it and writes it back, and retries if another writer came in between.
   *
   * <p>The change takes effect at most once. If {@code change} returns the current bytes, nothing
   * is written. A lost response that cannot be settled ends the retries with {@link
   * StoreError.Unsettled}.
   *
   * @param <R> the type of the reason for which the change is refused
   * @param name the name of the object
   * @param change computes the new bytes from the current object, empty if there is none, or
   *     refuses the change; may be called several times
   * @return the object after the change, or the reason why the change was not made
   */
  public <R> Result<StoredObject, UpdateError<R>> update(
      String name, Function<Optional<StoredObject>, Result<byte[], R>> change) {
    StoreError lastError = new StoreError.Unavailable("no attempt was made");
    for (int attempt = 0; attempt < UPDATE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> read = store.get(name);
      if (!read.isOk() && !(read.error() instanceof StoreError.NotFound)) {
        return Result.err(new UpdateError.Failed<>(read.error()));
      }
      Optional<StoredObject> current = read.isOk() ? Optional.of(read.get()) : Optional.empty();
      Result<byte[], R> newValue = change.apply(current);
      if (!newValue.isOk()) {
        return Result.err(new UpdateError.Refused<>(newValue.error()));
      }
      if (current.isPresent() && Arrays.equals(current.get().value(), newValue.get())) {
        return Result.ok(current.get());
      }
      long version = current.map(StoredObject::version).orElse(0L);
      Result<StoredObject, StoreError> written = put(name, newValue.get(), version);
      if (written.isOk()) {
        return Result.ok(written.get());
      }
      lastError = written.error();
      if (!(lastError instanceof StoreError.Conflict)) {
        return Result.err(new UpdateError.Failed<>(lastError));
      }
      backOff(attempt);
    }
    return Result.err(new UpdateError.Failed<>(lastError));
  }

  // A stale read returns an older version than the expected one; the retried write is conditional
  // on the actual version, so retrying it then is safe too.
  private static boolean canStillTakeEffect(
      Result<StoredObject, StoreError> stored, long expectedVersion) {
    if (stored.isOk()) {
      return stored.get().version() <= expectedVersion;
    }
    return stored.error() instanceof StoreError.NotFound;
  }

  private void backOff(int attempt) {
    long bound = INITIAL_BACKOFF_NANOS << attempt;
    sleepNanos.accept(random.nextLong(bound / 2, bound));
  }
}
