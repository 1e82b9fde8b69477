package verbenahatch.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Orders waiting requests fairly by workspace, in proportion to weights.
 *
 * <p>Start-time fair queueing: each request gets a start tag, and the lowest goes first, so a
 * workspace that sends a lot waits behind itself and not before others. A request whose deadline
 * cannot be met is refused when it comes, and later as soon as that is certain. Thread-safe by one
 * short lock; it is used only when no target has a place.
 *
 * @param <T> the type of the waiting requests
 */
public final class FairQueue<T> {

  /** Weight of the newest interval between departures. */
  private static final double INTERVAL_WEIGHT = 0.2;

  private final Map<String, Line<T>> lines = new HashMap<>();
  private final int capacity;
  private double virtualTime;
  private double intervalNanos;
  private long lastDepartureNanos;
  private boolean busySinceDeparture;
  private int size;

  /**
   * Creates an empty queue.
   *
   * @param capacity the most requests that wait
   * @param firstIntervalNanos the estimate of the time between two departures at the start
   */
  public FairQueue(int capacity, long firstIntervalNanos) {
    this.capacity = capacity;
    this.intervalNanos = firstIntervalNanos;
  }

  /** Tells what became of a request. */
  public sealed interface OfferResult<T> {

    /**
     * The request waits.
     *
     * @param <T> the type of the waiting requests
     * @param displaced a request of the longest line that lost its place, null if none did
     */
    record Queued<T>(@Nullable T displaced) implements OfferResult<T> {}

    /**
     * The deadline cannot be met.
     *
     * @param <T> the type of the waiting requests
     */
    record DeadlineUnreachable<T>() implements OfferResult<T> {}

    /**
     * The queue is full and the workspace has the longest line.
     *
     * @param <T> the type of the waiting requests
     */
    record Full<T>() implements OfferResult<T> {}
  }

  private static final class Line<T> {
    private final Deque<Item<T>> items = new ArrayDeque<>();
    private double weight = 1;
    private double lastFinish;

    double length() {
      return items.size() / weight;
    }
  }

  private record Item<T>(T request, double start, long latestNanos) {}

  /**
   * Adds a request.
   *
   * @param workspace the workspace
   * @param weight its weight, positive
   * @param request the request
   * @param latestNanos the latest time at which it must leave the queue to meet its deadline
   * @param nowNanos the time
   * @return what became of it
   */
  public synchronized OfferResult<T> offer(
      String workspace, double weight, T request, long latestNanos, long nowNanos) {
    Line<T> line = lines.computeIfAbsent(workspace, name -> new Line<>());
    line.weight = weight;
    if (nowNanos + estimateNanos(line) - latestNanos > 0) {
      removeIfIdle(workspace, line);
      return new OfferResult.DeadlineUnreachable<>();
    }
    T displaced = null;
    if (size >= capacity) {
      Line<T> longest = longest();
      if (longest.length() <= line.length()) {
        removeIfIdle(workspace, line);
        return new OfferResult.Full<>();
      }
      displaced = longest.items.removeLast().request();
      longest.lastFinish -= 1 / longest.weight;
      size--;
    }
    double start = Math.max(virtualTime, line.lastFinish);
    line.lastFinish = start + 1 / weight;
    line.items.addLast(new Item<>(request, start, latestNanos));
    size++;
    return new OfferResult.Queued<>(displaced);
  }

  private void removeIfIdle(String workspace, Line<T> line) {
    if (line.items.isEmpty() && line.lastFinish <= virtualTime) {
      lines.remove(workspace);
    }
  }

  private Line<T> longest() {
    Line<T> longest = null;
    for (Line<T> line : lines.values()) {
      if (longest == null || line.length() > longest.length()) {
        longest = line;
      }
    }
    if (longest == null) {
      throw new IllegalStateException("a full queue has no line");
    }
    return longest;
  }

  // Until the request leaves, each other line passes at most as many as its weight allows.
  private double estimateNanos(Line<T> line) {
    double rounds = (line.items.size() + 1) / line.weight;
    double ahead = line.items.size();
    for (Line<T> other : lines.values()) {
      if (other != line) {
        ahead += Math.min(other.items.size(), rounds * other.weight);
      }
    }
    return ahead * intervalNanos;
  }

  /**
   * Takes the request that is next.
   *
   * @param nowNanos the time
   * @param late receives requests that left because their deadline cannot be met any more
   * @return the request, null if none waits
   */
  public synchronized @Nullable T poll(long nowNanos, List<T> late) {
    while (size > 0) {
      Line<T> next = null;
      for (Line<T> line : lines.values()) {
        if (!line.items.isEmpty()
            && (next == null || line.items.getFirst().start() < next.items.getFirst().start())) {
          next = line;
        }
      }
      if (next == null) {
        throw new IllegalStateException("size is " + size + " but every line is empty");
      }
      Item<T> item = next.items.removeFirst();
      size--;
      virtualTime = Math.max(virtualTime, item.start());
      if (nowNanos - item.latestNanos() > 0) {
        late.add(item.request());
        continue;
      }
      departed(nowNanos);
      return item.request();
    }
    forgetIdle();
    return null;
  }

  /**
   * Returns a request that was polled to the head of its line.
   *
   * @param workspace its workspace
   * @param request the request
   * @param latestNanos the latest time at which it must leave the queue
   */
  public synchronized void putBack(String workspace, T request, long latestNanos) {
    Line<T> line = lines.computeIfAbsent(workspace, name -> new Line<>());
    Item<T> head = line.items.peekFirst();
    double start = head == null ? virtualTime : Math.min(virtualTime, head.start());
    line.items.addFirst(new Item<>(request, start, latestNanos));
    size++;
  }

  private void departed(long nowNanos) {
    if (busySinceDeparture) {
      intervalNanos += INTERVAL_WEIGHT * (nowNanos - lastDepartureNanos - intervalNanos);
    }
    lastDepartureNanos = nowNanos;
    busySinceDeparture = size > 0;
  }

  private void forgetIdle() {
    busySinceDeparture = false;
    lines.values().removeIf(line -> line.items.isEmpty() && line.lastFinish <= virtualTime);
  }

  /**
   * Removes the requests whose deadline cannot be met any more.
   *
   * @param nowNanos the time
   * @return the requests
   */
  public synchronized List<T> expire(long nowNanos) {
    List<T> late = new ArrayList<>();
    for (Line<T> line : lines.values()) {
      line.items.removeIf(
          item -> {
            boolean isLate = nowNanos - item.latestNanos() > 0;
            if (isLate) {
              late.add(item.request());
            }
            return isLate;
          });
    }
    size -= late.size();
    return late;
  }

  /**
   * Removes a request that is no longer wanted.
   *
   * @param workspace its workspace
   * @param request the request
   * @return true if it waited
   */
  public synchronized boolean remove(String workspace, T request) {
    Line<T> line = lines.get(workspace);
    if (line == null || !line.items.removeIf(item -> item.request().equals(request))) {
      return false;
    }
    size--;
    return true;
  }

  /**
   * Returns how many requests wait.
   *
   * @return the number
   */
  public synchronized int size() {
    return size;
  }
}
