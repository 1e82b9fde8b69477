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
 * Keeps objects in memory and shows the faults of a real platform on request. Thread-safe.
 *
 * <p>A watch whose resume version is higher than the current one, as happens after {@link
 * #restore(Snapshot)}, returns all objects at once and a lower resume version.
 */
public final class InMemoryObjectStore implements ObjectStore {

  /** Largest value in bytes. */
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

  /** Names the kinds of calls that are counted. */
  public enum Call {
    /** A read of one object. */
    GET,
    /** A read of a list. */
    LIST,
    /** A write. */
    PUT,
    /** A deletion. */
    DELETE,
    /** A watch, however long it waits. */
    WATCH
  }

  /** Holds an older state for {@link #restore(Snapshot)}. */
  public static final class Snapshot {
    private final State state;

    private Snapshot(State state) {
      this.state = state;
    }
  }

  /**
   * Replaces the faults that are switched on.
   *
   * @param next the new faults
   */
  public void setFaults(StoreFaults next) {
    lock.lock();
    try {
      if (next.staleReads() && !faults.staleReads()) {
        staleState = state.copy();
      }
      faults = next;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Returns the faults that are switched on, with what is left of the counted ones.
   *
   * @return the faults
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
   * Copies the present state.
   *
   * @return the copy
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
   * Goes back to an older state, with its versions.
   *
   * @param snapshot the older state
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
   * Returns the number of calls of a kind, refused ones included.
   *
   * @param call the kind
   * @return the number since the start
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
   * Returns the number of all calls.
   *
   * @return the number since the start
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
      if (!enter(Call.GET)) {
        return unavailable();
      }
      StoredObject object = readable().objects.get(name);
      return object == null ? Result.err(new StoreError.NotFound(name)) : Result.ok(object);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    lock.lock();
    try {
      if (!enter(Call.LIST)) {
        return unavailable();
      }
      return Result.ok(readable().startingWith(prefix, 0));
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    lock.lock();
    try {
      if (!enter(Call.PUT)) {
        return unavailable();
      }
      if (name.isEmpty() || value.length > MAX_VALUE_BYTES) {
        return Result.err(new StoreError.Invalid("empty name, or value over 1 MB"));
      }
      if (loseRequest()) {
        return Result.err(new StoreError.Unsettled(name, writeId));
      }
      long current = state.versionOf(name);
      if (current != expectedVersion) {
        return Result.err(new StoreError.Conflict(name, current));
      }
      StoredObject written = new StoredObject(name, value.clone(), ++state.version, writeId);
      state.objects.put(name, written);
      state.deleted.remove(name);
      changed.signalAll();
      return loseAnswer()
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
      if (!enter(Call.DELETE)) {
        return unavailable();
      }
      if (loseRequest()) {
        return Result.err(new StoreError.Unsettled(name, writeId));
      }
      long current = state.versionOf(name);
      if (current == 0) {
        return Result.err(new StoreError.NotFound(name));
      }
      if (current != expectedVersion) {
        return Result.err(new StoreError.Conflict(name, current));
      }
      state.objects.remove(name);
      state.deleted.put(name, ++state.version);
      changed.signalAll();
      return loseAnswer() ? Result.err(new StoreError.Unsettled(name, writeId)) : Result.ok(true);
    } finally {
      lock.unlock();
    }
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    long left = maxWait.toNanos();
    lock.lock();
    try {
      counts.merge(Call.WATCH, 1L, Long::sum);
      while (true) {
        if (faults.down() || closed) {
          return unavailable();
        }
        WatchBatch batch = state.changesAfter(prefix, resumeVersion);
        boolean behind = batch.resumeVersion() < resumeVersion;
        if (behind || !batch.changed().isEmpty() || !batch.deleted().isEmpty() || left <= 0) {
          return Result.ok(batch);
        }
        left = changed.awaitNanos(left);
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

  // Waits out the delay without holding the lock against other calls, then tells whether the call
  // may go on.
  private boolean enter(Call call) {
    counts.merge(call, 1L, Long::sum);
    long left = TimeUnit.MILLISECONDS.toNanos(faults.delayMillis());
    try {
      while (left > 0 && !faults.down() && !closed) {
        left = changed.awaitNanos(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return !faults.down() && !closed;
  }

  private State readable() {
    return faults.staleReads() ? staleState : state;
  }

  private boolean loseAnswer() {
    if (faults.loseAnswers() <= 0) {
      return false;
    }
    faults = withLosses(faults.loseAnswers() - 1, faults.loseRequests());
    return true;
  }

  private boolean loseRequest() {
    if (faults.loseRequests() <= 0) {
      return false;
    }
    faults = withLosses(faults.loseAnswers(), faults.loseRequests() - 1);
    return true;
  }

  private StoreFaults withLosses(int answers, int requests) {
    return new StoreFaults(
        faults.down(),
        faults.delayMillis(),
        faults.staleReads(),
        answers,
        requests,
        faults.silent());
  }

  private static <T> Result<T, StoreError> unavailable() {
    return Result.err(new StoreError.Unavailable("the store is down"));
  }

  /** Holds objects and the versions of deletions; guarded by the lock of the store. */
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

    List<StoredObject> startingWith(String prefix, long afterVersion) {
      List<StoredObject> found = new ArrayList<>();
      for (StoredObject object : objects.tailMap(prefix, true).values()) {
        if (!object.name().startsWith(prefix)) {
          break;
        }
        if (object.version() > afterVersion) {
          found.add(object);
        }
      }
      return found;
    }

    WatchBatch changesAfter(String prefix, long resumeVersion) {
      long after = resumeVersion > version ? 0 : resumeVersion;
      List<String> gone = new ArrayList<>();
      deleted.forEach(
          (name, at) -> {
            if (name.startsWith(prefix) && at > after) {
              gone.add(name);
            }
          });
      return new WatchBatch(version, startingWith(prefix, after), gone);
    }
  }
}
