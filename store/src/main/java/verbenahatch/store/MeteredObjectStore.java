package verbenahatch.store;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import verbenahatch.kernel.Result;

/** Delegates to another store and counts its calls by kind and result. Thread-safe. */
final class MeteredObjectStore implements ObjectStore {

  private final ObjectStore delegate;
  private final Counter calls;

  MeteredObjectStore(ObjectStore delegate, PrometheusRegistry metrics) {
    this.delegate = delegate;
    this.calls =
        Counter.builder()
            .name("verbenahatch_store_calls_total")
            .help("Calls to the object store; a watch counts as one call.")
            .labelNames("kind", "result")
            .register(metrics);
  }

  @Override
  public Result<StoredObject, StoreError> get(String name) {
    return count("get", delegate.get(name));
  }

  @Override
  public Result<List<StoredObject>, StoreError> list(String prefix) {
    return count("list", delegate.list(prefix));
  }

  @Override
  public Result<StoredObject, StoreError> put(
      String name, byte[] value, long expectedVersion, String writeId) {
    return count("put", delegate.put(name, value, expectedVersion, writeId));
  }

  @Override
  public Result<Boolean, StoreError> delete(String name, long expectedVersion, String writeId) {
    return count("delete", delegate.delete(name, expectedVersion, writeId));
  }

  @Override
  public Result<WatchBatch, StoreError> watch(String prefix, long resumeVersion, Duration maxWait) {
    return count("watch", delegate.watch(prefix, resumeVersion, maxWait));
  }

  @Override
  public void close() {
    delegate.close();
  }

  private <T> Result<T, StoreError> count(String kind, Result<T, StoreError> result) {
    String label = result.isOk() ? "ok" : resultLabel(result.error());
    calls.labelValues(kind, label).inc();
    return result;
  }

  private static String resultLabel(StoreError error) {
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
