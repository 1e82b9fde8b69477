package verbenahatch.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.kernel.Clock;
import verbenahatch.routing.FairQueue;

/** Holds the fair queues of this host, one per service and version. Thread-safe. */
final class PlaceQueues {

  /** Requests that may wait per service and version; each holds a caller's connection. */
  private static final int CAPACITY = 2_000;

  private static final long FIRST_INTERVAL_NANOS = 1_000_000L;

  private final Clock clock;
  private final WeightOf weights;
  private final Map<Key, FairQueue<Placement>> queues = new ConcurrentHashMap<>();

  /** Tells the weight of a workspace. */
  interface WeightOf {
    /**
     * Returns a weight.
     *
     * @param workspace the workspace, empty for callers of open routes
     * @return a positive number
     */
    double weight(String workspace);
  }

  private record Key(String service, String version) {}

  PlaceQueues(Clock clock, WeightOf weights) {
    this.clock = clock;
    this.weights = weights;
  }

  private FairQueue<Placement> queue(String service, String version) {
    return queues.computeIfAbsent(
        new Key(service, version), key -> new FairQueue<>(CAPACITY, FIRST_INTERVAL_NANOS));
  }

  boolean isWaiting(String service, String version) {
    FairQueue<Placement> queue = queues.get(new Key(service, version));
    return queue != null && queue.size() > 0;
  }

  void offer(Placement placement) {
    double weight = weights.weight(placement.workspace());
    FairQueue.OfferResult<Placement> offer =
        queue(placement.service().name(), placement.version())
            .offer(
                placement.workspace(),
                weight,
                placement,
                placement.latestNanos(),
                clock.nanoTime());
    if (offer instanceof FairQueue.OfferResult.DeadlineUnreachable) {
      placement.refuse(Refusal.DEADLINE_UNREACHABLE);
    } else if (offer instanceof FairQueue.OfferResult.Full) {
      placement.refuse(Refusal.NO_CAPACITY);
    } else if (offer instanceof FairQueue.OfferResult.Queued<Placement> waiting) {
      Placement displaced = waiting.displaced();
      if (displaced != null) {
        displaced.refuse(Refusal.NO_CAPACITY);
      }
    }
  }

  /** Returns a request that found no place to the head of its line. */
  void putBack(Placement placement) {
    queue(placement.service().name(), placement.version())
        .putBack(placement.workspace(), placement, placement.latestNanos());
  }

  /**
   * Lets the next request search, after a place became free.
   *
   * @param service the service
   * @param version the version
   */
  void next(String service, String version) {
    FairQueue<Placement> queue = queues.get(new Key(service, version));
    if (queue == null || queue.size() == 0) {
      return;
    }
    List<Placement> late = new ArrayList<>();
    Placement next = queue.poll(clock.nanoTime(), late);
    refuseLate(late);
    if (next != null) {
      next.resume();
    }
  }

  /** Refuses what became late and lets one request per queue search. */
  void tick() {
    long now = clock.nanoTime();
    queues.forEach(
        (key, queue) -> {
          refuseLate(queue.expire(now));
          int waiting = queue.size();
          for (int i = 0; i < waiting; i++) {
            int before = queue.size();
            next(key.service(), key.version());
            if (queue.size() >= before) {
              return;
            }
          }
        });
  }

  private static void refuseLate(List<Placement> late) {
    for (Placement placement : late) {
      placement.refuse(Refusal.DEADLINE_UNREACHABLE);
    }
  }

  int size() {
    int size = 0;
    for (FairQueue<Placement> queue : queues.values()) {
      size += queue.size();
    }
    return size;
  }
}
