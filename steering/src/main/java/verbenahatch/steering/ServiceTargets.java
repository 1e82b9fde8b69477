package verbenahatch.steering;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Holds the targets of one service and the processing times of the service.
 *
 * <p>The list of targets is replaced as a whole; the times are estimates over all targets.
 */
final class ServiceTargets {

  final String name;
  volatile List<Target> targets = List.of();

  /** The times over all routes, for the wait behind requests of any route. */
  private final ProcessingTimes times = new ProcessingTimes();

  final ObjectMoves objectMoves = new ObjectMoves();
  private final Map<String, ProcessingTimes> timesByRoute = new ConcurrentHashMap<>();

  /** Measured times after which a route is estimated from its own ones only. */
  private static final int MIN_ROUTE_TIMES = 5;

  /** Bounds the routes that have estimates of their own, because documents may rename routes. */
  private static final int MAX_ROUTES = 256;

  /** Time after a loss of targets during which region weights change faster, in nanoseconds. */
  private static final long LOSS_WINDOW_NANOS = 4_000_000_000L;

  final RegionWeights regionWeights;
  private volatile long lossNanos;
  private volatile boolean lost;

  ServiceTargets(String name, double maxRegionShift) {
    this.name = name;
    this.regionWeights = new RegionWeights(maxRegionShift);
  }

  /** Returns the estimates over all routes. */
  ProcessingTimes times() {
    return times;
  }

  /**
   * Returns the estimates of one route, those over all routes until enough times of it were
   * measured.
   *
   * <p>Routes of one service may differ in their work by several times.
   */
  ProcessingTimes times(String route) {
    ProcessingTimes ofRoute = timesByRoute.get(route);
    return ofRoute == null || ofRoute.count() < MIN_ROUTE_TIMES ? times : ofRoute;
  }

  /** Records the processing time in ms of a request of a route for an object. */
  void recordTime(String route, CacheState expected, double millis) {
    times.record(expected, millis);
    if (timesByRoute.size() < MAX_ROUTES || timesByRoute.containsKey(route)) {
      timesByRoute.computeIfAbsent(route, name -> new ProcessingTimes()).record(expected, millis);
    }
  }

  /** Records that a target was lost without having drained. */
  void recordLoss(long nowNanos) {
    lossNanos = nowNanos;
    lost = true;
  }

  boolean hasRecentLoss(long nowNanos) {
    return lost && nowNanos - lossNanos < LOSS_WINDOW_NANOS;
  }
}
