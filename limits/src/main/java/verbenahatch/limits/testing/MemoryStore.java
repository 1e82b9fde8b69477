package verbenahatch.limits.testing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** An in-memory object store that can simulate outages and lost responses. Thread-safe. */
public final class MemoryStore implements ObjectStore {

  private final Map<String, StoredObject> objects = new TreeMap<>();
  private final Random random;
  private double lostResponseProbability;
  private boolean down;
  private long version;
  private long calls;

  /**
   * Creates an empty store.
   *
   * @param seed the seed of the random choice of lost responses
   */
  public MemoryStore(long seed) {
    this.random = new Random(seed);
  }

  /**
   * Starts or ends an outage.
   *
   * @param isDown whether every call fails from now on
   */
  public synchronized void setDown(boolean isDown) {
    this.down = isDown;
  }

  /**
   * Returns whether there is an outage.
   *
   * @return true if every call fails
   */
  public synchronized boolean isDown() {
    return down;
  }

  /**
   * Makes successful writes return {@link StoreError.Unsettled}, as if their response was lost.
   *
   * @param probability the probability that a response is lost, from 0 to 1
   */
  public synchronized void setLostResponses(double probability) {
    this.lostResponseProbability = probability;
  }

  /**
   * Returns the number of calls so far.
   *
   * @return the number, including failed calls
   */
  public synchronized long calls() {
    return calls;
  }

  private Result<StoredObject, StoreError> unavailable() {
    return Result.err(new StoreError.Unavailable("store is down"));
  }

  @Override
  public synchronized Result<StoredObject, StoreError> get(String name) {
    calls++;
    if (down) {
      return unavailable();
    }
    StoredObject object = objects.get(name);
    return object == null ? Result.err(new StoreError.NotFound(name)) : Result.ok(object);
  }

  @Override
  public synchronized Result<List<StoredObject>, StoreError> list(String prefix) {
    calls++;
    if (down) {
      return Result.err(new StoreError.Unavailable("store is down"));
    }
    return Result.ok(
        objects.values().stream().filter(object -> object.name().startsWith(prefix)).toList());
  }

  @Override
  public synchronized Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    calls++;
    if (down) {
      return unavailable();
    }
    StoredObject current = objects.get(name);
    long currentVersion = current == null ? 0 : current.version();
    if (currentVersion != expectedVersion) {
      return Result.err(new StoreError.Conflict(name, currentVersion));
    }
    StoredObject written = new StoredObject(name, value, ++version, writeId);
    objects.put(name, written);
    if (random.nextDouble() < lostResponseProbability) {
      return Result.err(new StoreError.Unsettled(name, writeId));
    }
    return Result.ok(written);
  }

  @Override
  public synchronized Result<Boolean, StoreError> delete(
      String name, long expectedVersion, String writeId) {
    throw new UnsupportedOperationException("limits delete nothing");
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    throw new UnsupportedOperationException("limits watch nothing");
  }

  @Override
  public void close() {}
}
