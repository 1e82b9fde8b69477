package verbenahatch.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.kernel.Clock;
import verbenahatch.routing.FairQueue;

/** Queues of requests that wait for a slot, one fair queue per service and version. Thread-safe. */
final class SlotQueues {

  /**
   * Maximum number of waiting requests per service and version; each holds a caller's connection.
   */
  private static final int MAX_WAITING = 2_000;

  private static final long INITIAL_INTERVAL_NANOS = 1_000_000L;

  private final Clock clock;
  private final WorkspaceWeights weights;
  private final Map<Key, FairQueue<SlotSearch>> queues = new ConcurrentHashMap<>();

  /** Weights of the workspaces in the fair queues. */
  interface WorkspaceWeights {
    /**
     * Returns the weight of a workspace.
     *
     * @param workspace the workspace, empty for callers of open routes
     * @return a positive number
     */
    double weight(String workspace);
  }

  private record Key(String service, String version) {}

  SlotQueues(Clock clock, WorkspaceWeights weights) {
    this.clock = clock;
    this.weights = weights;
  }

  private FairQueue<SlotSearch> queue(String service, String version) {
    return queues.computeIfAbsent(
        new Key(service, version), key -> new FairQueue<>(MAX_WAITING, INITIAL_INTERVAL_NANOS));
  }

  boolean isWaiting(String service, String version) {
    FairQueue<SlotSearch> queue = queues.get(new Key(service, version));
    return queue != null && queue.size() > 0;
  }

  void offer(SlotSearch search) {
    double weight = weights.weight(search.workspace());
    FairQueue.OfferResult<SlotSearch> result =
        queue(search.service().name(), search.version())
            .offer(
                search.workspace(), weight, search, search.queueDeadlineNanos(), clock.nanoTime());
    if (result instanceof FairQueue.OfferResult.DeadlineUnreachable) {
      search.refuse(Refusal.DEADLINE_UNREACHABLE);
    } else if (result instanceof FairQueue.OfferResult.Full) {
      search.refuse(Refusal.NO_CAPACITY);
    } else if (result instanceof FairQueue.OfferResult.Queued<SlotSearch> queued) {
      SlotSearch displaced = queued.displaced();
      if (displaced != null) {
        displaced.refuse(Refusal.NO_CAPACITY);
      }
    }
  }

  /** Puts a request that found no slot back at the head of the queue of its workspace. */
  void requeue(SlotSearch search) {
    queue(search.service().name(), search.version())
        .putBack(search.workspace(), search, search.queueDeadlineNanos());
  }

  /**
   * Lets the next waiting request search for a slot. Called after a slot became free; does nothing
   * if no request waits.
   *
   * @param service the service
   * @param version the version
   */
  void resumeNext(String service, String version) {
    FairQueue<SlotSearch> queue = queues.get(new Key(service, version));
    if (queue == null || queue.size() == 0) {
      return;
    }
    List<SlotSearch> expired = new ArrayList<>();
    SlotSearch polled = queue.poll(clock.nanoTime(), expired);
    refuseExpired(expired);
    if (polled != null) {
      polled.resume();
    }
  }

  /**
   * Refuses requests whose time in the queue has expired, then lets waiting requests search, until
   * one goes back into its queue.
   */
  void tick() {
    long now = clock.nanoTime();
    queues.forEach(
        (key, queue) -> {
          refuseExpired(queue.expire(now));
          int waitingCount = queue.size();
          for (int i = 0; i < waitingCount; i++) {
            int sizeBefore = queue.size();
            resumeNext(key.service(), key.version());
            if (queue.size() >= sizeBefore) {
              return;
            }
          }
        });
  }

  private static void refuseExpired(List<SlotSearch> expired) {
    for (SlotSearch search : expired) {
      search.refuse(Refusal.DEADLINE_UNREACHABLE);
    }
  }

  int size() {
    int size = 0;
    for (FairQueue<SlotSearch> queue : queues.values()) {
      size += queue.size();
    }
    return size;
  }
}
