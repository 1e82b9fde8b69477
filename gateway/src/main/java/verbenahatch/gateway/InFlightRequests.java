package verbenahatch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Counts requests in flight and signals when there are none. Thread-safe. */
final class InFlightRequests {

  private final AtomicInteger count = new AtomicInteger();
  private volatile @Nullable CompletableFuture<Void> idleFuture;

  int count() {
    return count.get();
  }

  void increment() {
    count.incrementAndGet();
  }

  void decrement() {
    if (count.decrementAndGet() == 0) {
      CompletableFuture<Void> future = idleFuture;
      if (future != null) {
        future.complete(null);
      }
    }
  }

  /**
   * Returns a future that completes at the next moment without requests in flight.
   *
   * @return the future, already completed if no request is in flight
   */
  CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> future = new CompletableFuture<>();
    idleFuture = future;
    if (count.get() == 0) {
      future.complete(null);
    }
    return future;
  }
}
