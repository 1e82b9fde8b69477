package verbenahatch.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** In-memory object store with simulated outages, lost responses and stale reads. */
final class FakeStore implements ObjectStore {

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final Map<String, StoredObject> previousVersions = new TreeMap<>();
  private long version;
  volatile boolean down;
  volatile boolean staleReads;

  /** The response of every write whose number is divisible by this is lost; 0 for none. */
  volatile int loseResponseEvery;

  final AtomicInteger puts = new AtomicInteger();
  final AtomicInteger gets = new AtomicInteger();

  @Override
  public synchronized Result<StoredObject, StoreError> get(String name) {
    gets.incrementAndGet();
    if (down) {
      return Result.err(new StoreError.Unavailable("down"));
    }
    StoredObject object = staleReads ? previousVersions.get(name) : objects.get(name);
    return object == null ? Result.err(new StoreError.NotFound(name)) : Result.ok(object);
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    return Result.err(new StoreError.Unavailable("not used"));
  }

  @Override
  public synchronized Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    final int count = puts.incrementAndGet();
    if (down) {
      return Result.err(new StoreError.Unavailable("down"));
    }
    StoredObject current = objects.get(name);
    long currentVersion = current == null ? 0 : current.version();
    if (currentVersion != expectedVersion) {
      return Result.err(new StoreError.Conflict(name, currentVersion));
    }
    StoredObject written = new StoredObject(name, value.clone(), ++version, writeId);
    if (current != null) {
      previousVersions.put(name, current);
    }
    objects.put(name, written);
    boolean lost = loseResponseEvery > 0 && count % loseResponseEvery == 0;
    return lost ? Result.err(new StoreError.Unsettled(name, writeId)) : Result.ok(written);
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    return Result.err(new StoreError.Unavailable("not used"));
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    return Result.err(new StoreError.Unavailable("not used"));
  }

  @Override
  public void close() {}
}
