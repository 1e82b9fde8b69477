package verbenahatch.gateway;

import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.limits.Admission;
import verbenahatch.routing.TargetState;

/**
 * Finds a place for one attempt of a request, waiting in the fair queue if there is none.
 *
 * <p>A place is a target with a free slot in a region with free capacity.
 */
final class Placement {

  /** Bytes of a message besides its body, header lines and packet headers included. */
  private static final long HEAD_BYTES = 1_024;

  /** Receives the result, once. */
  interface Listener {

    /**
     * Takes a place.
     *
     * @param place the place, to be released when the request ends
     */
    void placed(Place place);

    /**
     * Learns that there is no place.
     *
     * @param refusal why
     */
    void notPlaced(Refusal refusal);

    /** Tells whether the request is no longer wanted. */
    boolean isGone();
  }

  /**
   * Bounds of the wait, which is otherwise a multiple of the time of a request. A longer queue adds
   * latency in overload and serves no more; a shorter one refuses bursts that places could serve.
   */
  private static final long LEAST_WAIT_NANOS = 250_000_000L;

  private static final long MOST_WAIT_NANOS = 2_000_000_000L;
  private static final long WAIT_FACTOR = 20;

  private final DataPath path;
  private final GatewayContext context;
  private final ServiceTargets service;
  private final String version;
  private final String workspace;
  private final Set<String> excluded;
  private final long deadlineNanos;
  private final boolean openOnly;
  private final Listener listener;
  private final long startNanos;
  private boolean fromQueue;

  /**
   * Creates a search that has not begun.
   *
   * @param workspace the workspace whose turn the wait uses
   * @param openOnly whether the route is open, so that a host that is not fresh may serve it
   */
  Placement(
      DataPath path,
      ServiceTargets service,
      String version,
      String workspace,
      Set<String> excluded,
      long deadlineNanos,
      boolean openOnly,
      Listener listener) {
    this.path = path;
    this.context = path.context();
    this.service = service;
    this.version = version;
    this.workspace = workspace;
    this.excluded = excluded;
    this.deadlineNanos = deadlineNanos;
    this.openOnly = openOnly;
    this.listener = listener;
    this.startNanos = context.clock().nanoTime();
  }

  void begin() {
    if (!path.targets().hasTarget(service, version)) {
      listener.notPlaced(Refusal.NO_TARGET);
      return;
    }
    if (path.queues().isWaiting(service.name(), version)) {
      enqueue();
      return;
    }
    search();
  }

  /** Searches again as the next in the queue. */
  void resume() {
    fromQueue = true;
    search();
  }

  private void search() {
    if (listener.isGone()) {
      listener.notPlaced(Refusal.DEADLINE_UNREACHABLE);
      return;
    }
    boolean fresh = context.fleet().isFresh();
    if (!fresh && !openOnly) {
      listener.notPlaced(Refusal.HOST_NOT_FRESH);
      return;
    }
    List<String> regions =
        fresh ? path.targets().order(service, version) : List.of(context.settings().region());
    tryRegions(regions.iterator(), fresh);
  }

  private void tryRegions(Iterator<String> regions, boolean fresh) {
    while (regions.hasNext()) {
      String region = regions.next();
      TargetState target = path.targets().acquire(service, version, region, excluded);
      if (target == null) {
        continue;
      }
      if (!fresh) {
        listener.placed(place(target, false));
        return;
      }
      context
          .limits()
          .enterRegion(region, deadlineNanos)
          .whenComplete((admission, failure) -> entered(target, admission, regions));
      return;
    }
    noPlace();
  }

  private void entered(
      TargetState target, @Nullable Admission admission, Iterator<String> regions) {
    if (admission instanceof Admission.Admitted) {
      takeLink(place(target, true), regions);
      return;
    }
    target.release();
    if (admission instanceof Admission.NotFresh) {
      listener.notPlaced(Refusal.HOST_NOT_FRESH);
    } else {
      tryRegions(regions, true);
    }
  }

  private Place place(TargetState target, boolean inRegion) {
    String own = context.settings().region();
    String other = target.target().region();
    return new Place(path, service, target, inRegion, meter(own, other), meter(other, own));
  }

  private LinkMeter meter(String from, String to) {
    return new LinkMeter(context.limits(), context.clock(), path.timer(), from, to, deadlineNanos);
  }

  // The expected answer is taken before the request leaves, because its bytes cannot be held back
  // at the other end of the link.
  private void takeLink(Place place, Iterator<String> regions) {
    if (place.out().isUnlimited()) {
      listener.placed(place);
      return;
    }
    place
        .out()
        .take(HEAD_BYTES)
        .thenCombine(place.back().take(HEAD_BYTES + service.meanBytes()), (a, b) -> a && b)
        .whenComplete(
            (granted, failure) -> {
              if (failure == null && granted) {
                place.out().trySpend(HEAD_BYTES);
                place.back().trySpend(HEAD_BYTES);
                listener.placed(place);
              } else {
                place.target().release();
                context.limits().leaveRegion(place.target().target().region());
                tryRegions(regions, true);
              }
            });
  }

  private void noPlace() {
    if (!excluded.isEmpty() || !context.fleet().isFresh()) {
      // A retry holds the caller already; it does not wait a second time.
      listener.notPlaced(Refusal.NO_CAPACITY);
    } else if (fromQueue) {
      path.queues().putBack(this);
    } else {
      enqueue();
    }
  }

  private void enqueue() {
    if (!excluded.isEmpty()) {
      search();
      return;
    }
    path.queues().offer(this);
  }

  void refuse(Refusal refusal) {
    listener.notPlaced(refusal);
  }

  String workspace() {
    return workspace;
  }

  ServiceTargets service() {
    return service;
  }

  String version() {
    return version;
  }

  /** Returns the latest time at which the request must leave the queue. */
  long latestNanos() {
    long mean = service.meanNanos();
    long wait = Math.min(MOST_WAIT_NANOS, Math.max(LEAST_WAIT_NANOS, WAIT_FACTOR * mean));
    long byWait = startNanos + wait;
    long byDeadline = deadlineNanos - mean;
    return byWait - byDeadline < 0 ? byWait : byDeadline;
  }
}
