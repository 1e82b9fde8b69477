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
 * Writes conditionally and settles lost answers. Thread-safe; every method blocks for a bounded
 * number of calls.
 *
 * <p>A write whose answer was lost is settled by its write id. While the object still has the
 * expected version the same write is sent again with the same id: because it is conditional, it
 * takes effect at most once even if the first copy arrives late.
 */
public final class StoreWriter {

  /** Reads and repeated writes that one lost answer may cost. */
  private static final int SETTLE_ATTEMPTS = 4;

  /** Attempts of a read-modify-write before it gives up with a conflict. */
  private static final int UPDATE_ATTEMPTS = 8;

  /** First bound of the random pause between attempts; it doubles each time. */
  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

  private final ObjectStore store;
  private final RandomGenerator random;
  private final LongConsumer pauseNanos;

  /**
   * Creates a writer that pauses for real time between attempts.
   *
   * @param store the store
   */
  public StoreWriter(ObjectStore store) {
    this(store, () -> ThreadLocalRandom.current().nextLong(), LockSupport::parkNanos);
  }

  /**
   * Creates a writer with its own random source and pause.
   *
   * @param store the store
   * @param random draws the pauses
   * @param pauseNanos waits for the given nanoseconds
   */
  public StoreWriter(ObjectStore store, RandomGenerator random, LongConsumer pauseNanos) {
    this.store = store;
    this.random = random;
    this.pauseNanos = pauseNanos;
  }

  /**
   * Draws an id for a write.
   *
   * @return a random id
   */
  public static String newWriteId() {
    return UUID.randomUUID().toString();
  }

  /**
   * Writes an object if its version is the expected one, and settles a lost answer.
   *
   * @param name the name
   * @param value the bytes, at most 1 MB
   * @param expectedVersion the version to replace, 0 to create
   * @return the object as written; {@link StoreError.Unsettled} only if the store gave no answer to
   *     any attempt, or another write came between
   */
  public Result<StoredObject, StoreError> put(String name, byte[] value, long expectedVersion) {
    return put(name, value, expectedVersion, newWriteId());
  }

  /**
   * Writes an object as {@link #put(String, byte[], long)} does, with a given write id.
   *
   * @param name the name
   * @param value the bytes, at most 1 MB
   * @param expectedVersion the version to replace, 0 to create
   * @param writeId an id unique to this write
   * @return the object as written, or a {@link StoreError}
   */
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    Result<StoredObject, StoreError> answer = store.put(name, value, expectedVersion, writeId);
    if (answer.isOk() || !(answer.error() instanceof StoreError.Unsettled)) {
      return answer;
    }
    return settle(name, value, expectedVersion, writeId);
  }

  /**
   * Finds out whether a write with a lost answer took effect, and repeats it if it still can.
   *
   * @param name the name
   * @param value the bytes of the write
   * @param expectedVersion the expected version of the write
   * @param writeId the id of the write
   * @return the object if the write took effect; {@link StoreError.Unsettled} if that is still not
   *     known, which includes the case that a later write replaced the object
   */
  public Result<StoredObject, StoreError> settle(
      String name, byte[] value, long expectedVersion, String writeId) {
    for (int attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> found = store.get(name);
      if (found.isOk() && found.get().writeId().equals(writeId)) {
        return found;
      }
      if (found.isOk() && found.get().version() > expectedVersion) {
        break;
      }
      if (mayStillApply(found, expectedVersion)) {
        Result<StoredObject, StoreError> again = store.put(name, value, expectedVersion, writeId);
        if (again.isOk() || again.error() instanceof StoreError.Invalid) {
          return again;
        }
      }
      pause(attempt);
    }
    return Result.err(new StoreError.Unsettled(name, writeId));
  }

  /**
   * Deletes an object if its version is the expected one, and settles a lost answer.
   *
   * @param name the name
   * @param expectedVersion the version to delete
   * @return true, or a {@link StoreError}
   */
  public Result<Boolean, StoreError> delete(String name, long expectedVersion) {
    String writeId = newWriteId();
    Result<Boolean, StoreError> answer = store.delete(name, expectedVersion, writeId);
    if (answer.isOk() || !(answer.error() instanceof StoreError.Unsettled)) {
      return answer;
    }
    for (int attempt = 0; attempt < SETTLE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> found = store.get(name);
      if (!found.isOk() && found.error() instanceof StoreError.NotFound) {
        return Result.ok(true);
      }
      if (mayStillApply(found, expectedVersion)) {
        Result<Boolean, StoreError> again = store.delete(name, expectedVersion, writeId);
        if (again.isOk() || again.error() instanceof StoreError.NotFound) {
          return Result.ok(true);
        }
      }
      pause(attempt);
    }
    return Result.err(new StoreError.Unsettled(name, writeId));
  }

  /**
   * Reads an object, changes it and writes it back, until no other writer came between.
   *
   * <p>The change takes effect at most once. A change that returns the current bytes writes
   * nothing. A lost answer that cannot be settled ends the loop with {@link StoreError.Unsettled}.
   *
   * @param <R> the type of the refusals of the change
   * @param name the name
   * @param change computes the new bytes from the current object, empty if there is none, or
   *     refuses
   * @return the object after the change, or why it did not finish
   */
  public <R> Result<StoredObject, UpdateError<R>> update(
      String name, Function<Optional<StoredObject>, Result<byte[], R>> change) {
    StoreError last = new StoreError.Unavailable("no attempt");
    for (int attempt = 0; attempt < UPDATE_ATTEMPTS; attempt++) {
      Result<StoredObject, StoreError> read = store.get(name);
      if (!read.isOk() && !(read.error() instanceof StoreError.NotFound)) {
        return Result.err(new UpdateError.Failed<>(read.error()));
      }
      Optional<StoredObject> current = read.isOk() ? Optional.of(read.get()) : Optional.empty();
      Result<byte[], R> changed = change.apply(current);
      if (!changed.isOk()) {
        return Result.err(new UpdateError.Refused<>(changed.error()));
      }
      if (current.isPresent() && Arrays.equals(current.get().value(), changed.get())) {
        return Result.ok(current.get());
      }
      long version = current.map(StoredObject::version).orElse(0L);
      Result<StoredObject, StoreError> written = put(name, changed.get(), version);
      if (written.isOk()) {
        return Result.ok(written.get());
      }
      last = written.error();
      if (!(last instanceof StoreError.Conflict)) {
        return Result.err(new UpdateError.Failed<>(last));
      }
      pause(attempt);
    }
    return Result.err(new UpdateError.Failed<>(last));
  }

  // A stale read shows an older version than the expected one; the repeated write is conditional on
  // the true version, so repeating it then is safe too.
  private static boolean mayStillApply(
      Result<StoredObject, StoreError> found, long expectedVersion) {
    if (found.isOk()) {
      return found.get().version() <= expectedVersion;
    }
    return found.error() instanceof StoreError.NotFound;
  }

  private void pause(int attempt) {
    long bound = PAUSE_NANOS << attempt;
    pauseNanos.accept(random.nextLong(bound / 2, bound));
  }
}
