package verbenahatch.store;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import verbenahatch.kernel.Result;

/** Counts the calls to another store by kind and result. Thread-safe. */
final class MeteredObjectStore implements ObjectStore {

  private final ObjectStore store;
  private final Counter calls;

  MeteredObjectStore(ObjectStore store, PrometheusRegistry metrics) {
    this.store = store;
    this.calls =
        Counter.builder()
            .name("verbenahatch_store_calls_total")
            .help("Calls to the object store; a watch counts as one call.")
            .labelNames("kind", "result")
            .register(metrics);
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    return count("get", store.get(name));
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    return count("list", store.list(prefix));
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    return count("put", store.put(name, value, expectedVersion, writeId));
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    return count("delete", store.delete(name, expectedVersion, writeId));
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    return count("watch", store.watch(prefix, resumeVersion, maxWait));
  }

  @Override
  public void close() {
    store.close();
  }

  private <T> Result<T, StoreError> count(String kind, Result<T, StoreError> result) {
    String label = result.isOk() ? "ok" : label(result.error());
    calls.labelValues(kind, label).inc();
    return result;
  }

  private static String label(StoreError error) {
    if (error instanceof StoreError.NotFound) {
      return "not_found";
    }
    if (error instanceof StoreError.Conflict) {
      return "conflict";
    }
    if (error instanceof StoreError.Unavailable) {
      return "unavailable";
    }
    return error instanceof StoreError.Unsettled ? "unsettled" : "invalid";
  }
}
