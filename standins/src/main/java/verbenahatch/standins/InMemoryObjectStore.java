package verbenahatch.standins;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/**
 * Implements the platform's object API in memory, with the faults of a real platform on request.
 * Thread-safe.
 *
 * <p>A watch whose resume version is higher than the current version, as happens after {@link
 * #restore(Snapshot)}, immediately returns all objects and a lower resume version.
 */
public final class InMemoryObjectStore implements ObjectStore {

  /** Largest size of an object's value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1 << 20;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Map<Call, Long> counts = new EnumMap<>(Call.class);
  private State state = new State(new TreeMap<>(), new TreeMap<>(), 0);
  private State staleState = state;
  private StoreFaults faults = StoreFaults.NONE;
  private boolean closed;

  /** Creates an empty store without faults. */
  public InMemoryObjectStore() {}

  /** Kinds of calls, each counted separately. */
  public enum Call {
    /** Reads one object. */
    GET,
    /** Reads a list of objects. */
    LIST,
    /** Writes an object. */
    PUT,
    /** Deletes an object. */
    DELETE,
    /** Watches for changes; counts once regardless of how long it waits. */
    WATCH
  }

  /** A copy of the store's state, for {@link #restore(Snapshot)}. */
  public static final class Snapshot {
    private final State state;

    private Snapshot(State state) {
      this.state = state;
    }
  }

  /**
   * Replaces the active faults. If the store is down from now on, waiting watches and delayed calls
   * are refused at once.
   *
   * @param newFaults the faults that are active from now on
   */
  public void setFaults(StoreFaults newFaults) {
    lock.lock();
    try {
      if (newFaults.staleReads() && !faults.staleReads()) {
        staleState = state.copy();
      }
      faults = newFaults;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the active faults.
   *
   * @return the faults, with the numbers of writes that are still to be lost
   */
  public StoreFaults faults() {
    lock.lock();
    try {
      return faults;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns a copy of the current state.
   *
   * @return the copy, which later writes do not change
   */
  public Snapshot snapshot() {
    lock.lock();
    try {
      return new Snapshot(state.copy());
    } finally {
      lock.unlock();
    }
  }

  /**
   * Restores an earlier state, including its versions.
   *
   * @param snapshot the state to restore; it can be restored again
   */
  public void restore(Snapshot snapshot) {
    lock.lock();
    try {
      state = snapshot.state.copy();
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the number of calls of one kind, including refused calls.
   *
   * @param call the kind of call
   * @return the number of calls since the store was created
   */
  public long count(Call call) {
    lock.lock();
    try {
      return counts.getOrDefault(call, 0L);
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the number of calls of all kinds, including refused calls.
   *
   * @return the number of calls since the store was created
   */
  public long totalCount() {
    lock.lock();
    try {
      return counts.values().stream().mapToLong(Long::longValue).sum();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    lock.lock();
    try {
      if (!awaitDelay(Call.GET)) {
        return unavailable();
      }
      StoredObject object = readableState().objects.get(name);
      return object == null ? Result.err(new StoreError.NotFound(name)) : Result.ok(object);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    lock.lock();
    try {
      if (!awaitDelay(Call.LIST)) {
        return unavailable();
      }
      return Result.ok(readableState().objectsWithPrefix(prefix, 0));
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    lock.lock();
    try {
      if (!awaitDelay(Call.PUT)) {
        return unavailable();
      }
      if (name.isEmpty() || value.length > MAX_VALUE_BYTES) {
        return Result.err(new StoreError.Invalid("empty name, or value over 1 MB"));
      }
      if (consumeLostRequest()) {
        return Result.err(new StoreError.Unsettled(name, writeId));
      }
      long currentVersion = state.versionOf(name);
      if (currentVersion != expectedVersion) {
        return Result.err(new StoreError.Conflict(name, currentVersion));
      }
      StoredObject written = new StoredObject(name, value.clone(), ++state.version, writeId);
      state.objects.put(name, written);
      state.deleted.remove(name);
      changed.signalAll();
      return consumeLostAnswer()
          ? Result.err(new StoreError.Unsettled(name, writeId))
          : Result.ok(written);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    lock.lock();
    try {
      if (!awaitDelay(Call.DELETE)) {
        return unavailable();
      }
      if (consumeLostRequest()) {
        return Result.err(new StoreError.Unsettled(name, writeId));
      }
      long currentVersion = state.versionOf(name);
      if (currentVersion == 0) {
        return Result.err(new StoreError.NotFound(name));
      }
      if (currentVersion != expectedVersion) {
        return Result.err(new StoreError.Conflict(name, currentVersion));
      }
      state.objects.remove(name);
      state.deleted.put(name, ++state.version);
      changed.signalAll();
      return consumeLostAnswer()
          ? Result.err(new StoreError.Unsettled(name, writeId))
          : Result.ok(true);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    long remainingNanos = maxWait.toNanos();
    lock.lock();
    try {
      counts.merge(Call.WATCH, 1L, Long::sum);
      while (true) {
        if (faults.down() || closed) {
          return unavailable();
        }
        WatchBatch batch = state.changesAfter(prefix, resumeVersion);
        boolean restored = batch.resumeVersion() < resumeVersion;
        if (restored
            || !batch.changed().isEmpty()
            || !batch.deleted().isEmpty()
            || remainingNanos <= 0) {
          return Result.ok(batch);
        }
        remainingNanos = changed.awaitNanos(remainingNanos);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return unavailable();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public void close() {
    lock.lock();
    try {
      closed = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  // Waits for the configured delay, without blocking other calls since the wait releases the lock,
  // then returns whether the call may proceed.
  private boolean awaitDelay(Call call) {
    counts.merge(call, 1L, Long::sum);
    long remainingNanos = TimeUnit.MILLISECONDS.toNanos(faults.delayMillis());
    try {
      while (remainingNanos > 0 && !faults.down() && !closed) {
        remainingNanos = changed.awaitNanos(remainingNanos);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return !faults.down() && !closed;
  }

  private State readableState() {
    return faults.staleReads() ? staleState : state;
  }

  private boolean consumeLostAnswer() {
    if (faults.loseAnswers() <= 0) {
      return false;
    }
    faults = withLostWrites(faults.loseAnswers() - 1, faults.loseRequests());
    return true;
  }

  private boolean consumeLostRequest() {
    if (faults.loseRequests() <= 0) {
      return false;
    }
    faults = withLostWrites(faults.loseAnswers(), faults.loseRequests() - 1);
    return true;
  }

  private StoreFaults withLostWrites(int lostAnswers, int lostRequests) {
    return new StoreFaults(
        faults.down(),
        faults.delayMillis(),
        faults.staleReads(),
        lostAnswers,
        lostRequests,
        faults.silent());
  }

  private static <T> Result<T, StoreError> unavailable() {
    return Result.err(new StoreError.Unavailable("the store is down"));
  }

  /** Holds the objects and the versions of deletions; guarded by the lock of the store. */
  private static final class State {
    private final TreeMap<String, StoredObject> objects;
    private final TreeMap<String, Long> deleted;
    private long version;

    State(TreeMap<String, StoredObject> objects, TreeMap<String, Long> deleted, long version) {
      this.objects = objects;
      this.deleted = deleted;
      this.version = version;
    }

    State copy() {
      return new State(new TreeMap<>(objects), new TreeMap<>(deleted), version);
    }

    long versionOf(String name) {
      StoredObject object = objects.get(name);
      return object == null ? 0 : object.version();
    }

    List<StoredObject> objectsWithPrefix(String prefix, long afterVersion) {
      List<StoredObject> matches = new ArrayList<>();
      for (StoredObject object : objects.tailMap(prefix, true).values()) {
        if (!object.name().startsWith(prefix)) {
          break;
        }
        if (object.version() > afterVersion) {
          matches.add(object);
        }
      }
      return matches;
    }

    WatchBatch changesAfter(String prefix, long resumeVersion) {
      long after = resumeVersion > version ? 0 : resumeVersion;
      List<String> deletedNames = new ArrayList<>();
      deleted.forEach(
          (name, deletionVersion) -> {
            if (name.startsWith(prefix) && deletionVersion > after) {
              deletedNames.add(name);
            }
          });
      return new WatchBatch(version, objectsWithPrefix(prefix, after), deletedNames);
    }
  }
}
