package verbenahatch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Counts running requests and tells when none is left. Thread-safe. */
final class RunningRequests {

  private final AtomicInteger count = new AtomicInteger();
  private volatile @Nullable CompletableFuture<Void> waiter;

  int count() {
    return count.get();
  }

  void enter() {
    count.incrementAndGet();
  }

  void leave() {
    if (count.decrementAndGet() == 0) {
      CompletableFuture<Void> waiting = waiter;
      if (waiting != null) {
        waiting.complete(null);
      }
    }
  }

  /**
   * Returns a future for the next moment without requests.
   *
   * @return completed already if none runs
   */
  CompletableFuture<Void> whenIdle() {
    CompletableFuture<Void> waiting = new CompletableFuture<>();
    waiter = waiting;
    if (count.get() == 0) {
      waiting.complete(null);
    }
    return waiting;
  }
}
