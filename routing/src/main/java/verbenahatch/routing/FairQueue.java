package verbenahatch.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Orders waiting requests fairly among workspaces, in proportion to their weights.
 *
 * <p>Start-time fair queueing: each request gets a start tag in virtual time, and the request with
 * the lowest tag leaves first, so that a workspace with many requests delays its own requests and
 * not those of others. A request whose deadline cannot be met is refused on arrival, and later as
 * soon as that is certain. Thread-safe: every method holds one lock for a short time; the queue is
 * used only while no target has a free slot.
 *
 * @param <T> the type of the waiting requests
 */
public final class FairQueue<T> {

  /** Weight of the newest interval in the mean interval between departures. */
  private static final double INTERVAL_WEIGHT = 0.2;

  private final Map<String, WorkspaceQueue<T>> queues = new HashMap<>();
  private final int capacity;
  private double virtualTime;
  private double meanIntervalNanos;
  private long lastDepartureNanos;
  private boolean busySinceDeparture;
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacity the largest number of waiting requests
   * @param initialIntervalNanos the initial estimate of the time between two departures, in
   *     nanoseconds
   */
  public FairQueue(int capacity, long initialIntervalNanos) {
    this.capacity = capacity;
    this.meanIntervalNanos = initialIntervalNanos;
  }

  /** The result of offering a request to the queue. */
  public sealed interface OfferResult<T> {

    /**
     * The request was added to the queue.
     *
     * @param <T> the type of the waiting requests
     * @param displaced the newest request of the longest workspace queue, removed because the queue
     *     was full; null if none was removed
     */
    record Queued<T>(@Nullable T displaced) implements OfferResult<T> {}

    /**
     * The request was refused because it cannot leave the queue in time for its deadline.
     *
     * @param <T> the type of the waiting requests
     */
    record DeadlineUnreachable<T>() implements OfferResult<T> {}

    /**
     * The request was refused because the queue is full and no other workspace has more waiting
     * requests in proportion to its weight.
     *
     * @param <T> the type of the waiting requests
     */
    record Full<T>() implements OfferResult<T> {}
  }

  private static final class WorkspaceQueue<T> {
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private double weight = 1;
    private double lastFinishTag;

    double weightedLength() {
      return entries.size() / weight;
    }
  }

  private record Entry<T>(T request, double startTag, long latestDepartureNanos) {}

  /**
   * Adds a request, or refuses it if its deadline cannot be met or the queue is full.
   *
   * @param workspace the workspace that sent it
   * @param weight the weight of the workspace, positive
   * @param request the request
   * @param latestDepartureNanos the latest time at which it must leave the queue to meet its
   *     deadline, in nanoseconds of the monotonic clock
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return whether it was added or why it was refused
   */
  public synchronized OfferResult<T> offer(
      String workspace, double weight, T request, long latestDepartureNanos, long nowNanos) {
    WorkspaceQueue<T> queue = queues.computeIfAbsent(workspace, name -> new WorkspaceQueue<>());
    queue.weight = weight;
    if (nowNanos + estimateWaitNanos(queue) - latestDepartureNanos > 0) {
      removeIfIdle(workspace, queue);
      return new OfferResult.DeadlineUnreachable<>();
    }
    T displaced = null;
    if (size >= capacity) {
      WorkspaceQueue<T> longest = longest();
      if (longest.weightedLength() <= queue.weightedLength()) {
        removeIfIdle(workspace, queue);
        return new OfferResult.Full<>();
      }
      displaced = longest.entries.removeLast().request();
      longest.lastFinishTag -= 1 / longest.weight;
      size--;
    }
    double startTag = Math.max(virtualTime, queue.lastFinishTag);
    queue.lastFinishTag = startTag + 1 / weight;
    queue.entries.addLast(new Entry<>(request, startTag, latestDepartureNanos));
    size++;
    return new OfferResult.Queued<>(displaced);
  }

  private void removeIfIdle(String workspace, WorkspaceQueue<T> queue) {
    if (queue.entries.isEmpty() && queue.lastFinishTag <= virtualTime) {
      queues.remove(workspace);
    }
  }

  private WorkspaceQueue<T> longest() {
    WorkspaceQueue<T> longest = null;
    for (WorkspaceQueue<T> queue : queues.values()) {
      if (longest == null || queue.weightedLength() > longest.weightedLength()) {
        longest = queue;
      }
    }
    if (longest == null) {
      throw new IllegalStateException("the queue is full but has no workspace queue");
    }
    return longest;
  }

  // Until the new request leaves, each other workspace sends at most as many requests as its weight
  // allows.
  private double estimateWaitNanos(WorkspaceQueue<T> queue) {
    double rounds = (queue.entries.size() + 1) / queue.weight;
    double requestsAhead = queue.entries.size();
    for (WorkspaceQueue<T> other : queues.values()) {
      if (other != queue) {
        requestsAhead += Math.min(other.entries.size(), rounds * other.weight);
      }
    }
    return requestsAhead * meanIntervalNanos;
  }

  /**
   * Removes and returns the request that is next.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @param expired the list to which removed requests are added whose deadline can no longer be met
   * @return the request, null if none is waiting
   */
  public synchronized @Nullable T poll(long nowNanos, List<T> expired) {
    while (size > 0) {
      WorkspaceQueue<T> next = null;
      for (WorkspaceQueue<T> queue : queues.values()) {
        if (!queue.entries.isEmpty()
            && (next == null
                || queue.entries.getFirst().startTag() < next.entries.getFirst().startTag())) {
          next = queue;
        }
      }
      if (next == null) {
        throw new IllegalStateException("size is " + size + " but every workspace queue is empty");
      }
      Entry<T> entry = next.entries.removeFirst();
      size--;
      virtualTime = Math.max(virtualTime, entry.startTag());
      if (nowNanos - entry.latestDepartureNanos() > 0) {
        expired.add(entry.request());
        continue;
      }
      recordDeparture(nowNanos);
      return entry.request();
    }
    removeIdleQueues();
    return null;
  }

  /**
   * Puts a polled request back at the head of its workspace's queue, even if the queue is full.
   *
   * @param workspace the workspace that sent it
   * @param request the request
   * @param latestDepartureNanos the latest time at which it must leave the queue to meet its
   *     deadline, in nanoseconds of the monotonic clock
   */
  public synchronized void putBack(String workspace, T request, long latestDepartureNanos) {
    WorkspaceQueue<T> queue = queues.computeIfAbsent(workspace, name -> new WorkspaceQueue<>());
    Entry<T> head = queue.entries.peekFirst();
    double startTag = head == null ? virtualTime : Math.min(virtualTime, head.startTag());
    queue.entries.addFirst(new Entry<>(request, startTag, latestDepartureNanos));
    size++;
  }

  private void recordDeparture(long nowNanos) {
    if (busySinceDeparture) {
      meanIntervalNanos += INTERVAL_WEIGHT * (nowNanos - lastDepartureNanos - meanIntervalNanos);
    }
    lastDepartureNanos = nowNanos;
    busySinceDeparture = size > 0;
  }

  private void removeIdleQueues() {
    busySinceDeparture = false;
    queues
        .values()
        .removeIf(queue -> queue.entries.isEmpty() && queue.lastFinishTag <= virtualTime);
  }

  /**
   * Removes the requests whose deadline can no longer be met.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return the removed requests, not null
   */
  public synchronized List<T> expire(long nowNanos) {
    List<T> expired = new ArrayList<>();
    for (WorkspaceQueue<T> queue : queues.values()) {
      queue.entries.removeIf(
          entry -> {
            boolean isExpired = nowNanos - entry.latestDepartureNanos() > 0;
            if (isExpired) {
              expired.add(entry.request());
            }
            return isExpired;
          });
    }
    size -= expired.size();
    return expired;
  }

  /**
   * Removes a request that was cancelled.
   *
   * @param workspace the workspace that sent it
   * @param request the request
   * @return whether it was waiting
   */
  public synchronized boolean remove(String workspace, T request) {
    WorkspaceQueue<T> queue = queues.get(workspace);
    if (queue == null || !queue.entries.removeIf(entry -> entry.request().equals(request))) {
      return false;
    }
    size--;
    return true;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number, never negative
   */
  public synchronized int size() {
    return size;
  }
}
