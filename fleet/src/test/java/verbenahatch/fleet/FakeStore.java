package verbenahatch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Predicate;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** Keeps objects in memory for one thread, with outages, lost answers and stale reads. */
final class FakeStore implements ObjectStore {

  private static final StoreError DOWN = new StoreError.Unavailable("store is down");

  private final TreeMap<String, StoredObject> objects = new TreeMap<>();
  private TreeMap<String, StoredObject> staleObjects = new TreeMap<>();
  private long version;
  private long calls;
  private boolean down;
  private boolean stale;
  private Predicate<String> answerLost = name -> false;

  void setDown(boolean down) {
    this.down = down;
  }

  /** Loses the answers to writes for which the test returns true; the writes take effect. */
  void loseAnswers(Predicate<String> lost) {
    answerLost = lost;
  }

  void remember() {
    staleObjects = new TreeMap<>(objects);
  }

  void setStale(boolean stale) {
    this.stale = stale;
  }

  /** Goes back to the remembered state, as after a restore from a backup. */
  void restore() {
    objects.clear();
    objects.putAll(staleObjects);
  }

  long calls() {
    return calls;
  }

  void write(String name, byte[] value) {
    objects.put(name, new StoredObject(name, value, ++version, "operator-" + version));
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    calls++;
    if (down) {
      return Result.err(DOWN);
    }
    StoredObject object = (stale ? staleObjects : objects).get(name);
    return object == null ? Result.err(new StoreError.NotFound(name)) : Result.ok(object);
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    calls++;
    return down ? Result.err(DOWN) : Result.ok(find(prefix, 0));
  }

  private List<StoredObject> find(String prefix, long after) {
    List<StoredObject> found = new ArrayList<>();
    for (StoredObject object : (stale ? staleObjects : objects).values()) {
      if (object.name().startsWith(prefix) && object.version() > after) {
        found.add(object);
      }
    }
    return found;
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    calls++;
    if (down) {
      return Result.err(DOWN);
    }
    StoredObject old = objects.get(name);
    long current = old == null ? 0 : old.version();
    if (current != expectedVersion) {
      return Result.err(new StoreError.Conflict(name, current));
    }
    StoredObject written = new StoredObject(name, value, ++version, writeId);
    objects.put(name, written);
    if (answerLost.test(name)) {
      return Result.err(new StoreError.Unsettled(name, writeId));
    }
    return Result.ok(written);
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    calls++;
    return down ? Result.err(DOWN) : Result.ok(objects.remove(name) != null);
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resume, Duration maxWait) {
    calls++;
    if (down) {
      return Result.err(DOWN);
    }
    return Result.ok(new WatchBatch(version, find(prefix, resume), List.of()));
  }

  @Override
  public void close() {}
}
