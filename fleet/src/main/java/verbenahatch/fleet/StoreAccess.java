package verbenahatch.fleet;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/** Counts the store calls of this module and tracks whether the store is available to this host. */
final class StoreAccess {

  private final ObjectStore store;
  private final Events events;
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean down;

  StoreAccess(ObjectStore store, Events events) {
    this.store = store;
    this.events = events;
  }

  boolean isDown() {
    return down;
  }

  long calls() {
    return calls.get();
  }

  Result<StoredObject, StoreError> get(String name) {
    calls.incrementAndGet();
    return note(store.get(name));
  }

  Result<List<StoredObject>, StoreError> list(String prefix) {
    calls.incrementAndGet();
    return note(store.list(prefix));
  }

  Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    calls.incrementAndGet();
    return note(store.put(name, value, expectedVersion, writeId));
  }

  Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    calls.incrementAndGet();
    return note(store.watch(prefix, resumeVersion, maxWait));
  }

  private <T> Result<T, StoreError> note(Result<T, StoreError> result) {
    boolean failed =
        !result.isOk()
            && (result.error() instanceof StoreError.Unavailable
                || result.error() instanceof StoreError.Unsettled);
    if (failed != down) {
      down = failed;
      if (failed) {
        events.log(FleetEvent.STORE_LOST, result.error());
      } else {
        events.log(FleetEvent.STORE_BACK);
      }
    }
    return result;
  }
}
