package verbenahatch.gateway;

import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.limits.Admission;
import verbenahatch.routing.TargetState;

/**
 * Acquires a slot for one attempt of a request, and waits in the fair queue if none is free.
 *
 * <p>It needs a free slot at a target and free capacity in the region of that target.
 */
final class SlotSearch {

  /** Estimated bytes of a message besides its body, including header lines and packet headers. */
  private static final long MESSAGE_OVERHEAD_BYTES = 1_024;

  /** Receives the result of the search, once. */
  interface Listener {

    /**
     * Called when a slot was acquired.
     *
     * @param slot the slot, to be released when the request ends
     */
    void slotAcquired(Slot slot);

    /**
     * Called when no slot could be acquired.
     *
     * @param refusal the reason
     */
    void slotRefused(Refusal refusal);

    /** Returns whether the request was cancelled, so that it needs no slot. */
    boolean isCancelled();
  }

  /**
   * Bounds of the time in the queue, which is otherwise {@link #WAIT_FACTOR} times the mean time of
   * a request. A longer queue adds latency under overload without serving more requests; a shorter
   * one refuses bursts that the slots could serve.
   */
  private static final long MIN_WAIT_NANOS = 250_000_000L;

  private static final long MAX_WAIT_NANOS = 2_000_000_000L;
  private static final long WAIT_FACTOR = 20;

  private final DataPath dataPath;
  private final GatewayContext context;
  private final ServiceTargets service;
  private final String version;
  private final String workspace;
  private final Set<String> excludedTargets;
  private final long deadlineNanos;
  private final boolean openRoute;
  private final Listener listener;
  private final long startNanos;
  private boolean dequeued;

  /**
   * Creates a search, which starts with {@link #begin()}.
   *
   * @param workspace the workspace whose queue the request waits in, empty for callers of open
   *     routes
   * @param openRoute whether the route is open, so that a host that is not fresh may serve it
   */
  SlotSearch(
      DataPath dataPath,
      ServiceTargets service,
      String version,
      String workspace,
      Set<String> excludedTargets,
      long deadlineNanos,
      boolean openRoute,
      Listener listener) {
    this.dataPath = dataPath;
    this.context = dataPath.context();
    this.service = service;
    this.version = version;
    this.workspace = workspace;
    this.excludedTargets = excludedTargets;
    this.deadlineNanos = deadlineNanos;
    this.openRoute = openRoute;
    this.listener = listener;
    this.startNanos = context.clock().nanoTime();
  }

  void begin() {
    if (!dataPath.targets().hasTarget(service, version)) {
      listener.slotRefused(Refusal.NO_TARGET);
      return;
    }
    if (dataPath.queues().isWaiting(service.name(), version)) {
      enqueue();
      return;
    }
    search();
  }

  /** Searches again after the request left the queue. */
  void resume() {
    dequeued = true;
    search();
  }

  private void search() {
    if (listener.isCancelled()) {
      listener.slotRefused(Refusal.DEADLINE_UNREACHABLE);
      return;
    }
    boolean fresh = context.fleet().isFresh();
    if (!fresh && !openRoute) {
      listener.slotRefused(Refusal.HOST_NOT_FRESH);
      return;
    }
    List<String> regions =
        fresh
            ? dataPath.targets().orderRegions(service, version)
            : List.of(context.settings().region());
    tryRegions(regions.iterator(), fresh);
  }

  private void tryRegions(Iterator<String> regions, boolean fresh) {
    while (regions.hasNext()) {
      String region = regions.next();
      TargetState target = dataPath.targets().acquire(service, version, region, excludedTargets);
      if (target == null) {
        continue;
      }
      if (!fresh) {
        listener.slotAcquired(slotAt(target, false));
        return;
      }
      context
          .limits()
          .enterRegion(region, deadlineNanos)
          .whenComplete((admission, failure) -> onRegionAdmission(target, admission, regions));
      return;
    }
    noSlotFound();
  }

  private void onRegionAdmission(
      TargetState target, @Nullable Admission admission, Iterator<String> regions) {
    if (admission instanceof Admission.Admitted) {
      reserveLinkBytes(slotAt(target, true), regions);
      return;
    }
    target.release();
    if (admission instanceof Admission.NotFresh) {
      listener.slotRefused(Refusal.HOST_NOT_FRESH);
    } else {
      tryRegions(regions, true);
    }
  }

  private Slot slotAt(TargetState target, boolean holdsRegionSlot) {
    String ownRegion = context.settings().region();
    String targetRegion = target.target().region();
    return new Slot(
        dataPath,
        service,
        target,
        holdsRegionSlot,
        meter(ownRegion, targetRegion),
        meter(targetRegion, ownRegion));
  }

  private LinkMeter meter(String fromRegion, String toRegion) {
    return new LinkMeter(
        context.limits(), context.clock(), dataPath.timer(), fromRegion, toRegion, deadlineNanos);
  }

  // Bytes for the expected response are reserved before the request is sent, because the response
  // cannot be held back at the other end of the link.
  private void reserveLinkBytes(Slot slot, Iterator<String> regions) {
    if (slot.requestMeter().isUnlimited()) {
      listener.slotAcquired(slot);
      return;
    }
    slot.requestMeter()
        .take(MESSAGE_OVERHEAD_BYTES)
        .thenCombine(
            slot.responseMeter().take(MESSAGE_OVERHEAD_BYTES + service.meanBytes()),
            (a, b) -> a && b)
        .whenComplete(
            (granted, failure) -> {
              if (failure == null && granted) {
                slot.requestMeter().trySpend(MESSAGE_OVERHEAD_BYTES);
                slot.responseMeter().trySpend(MESSAGE_OVERHEAD_BYTES);
                listener.slotAcquired(slot);
              } else {
                slot.target().release();
                context.limits().leaveRegion(slot.target().target().region());
                tryRegions(regions, true);
              }
            });
  }

  private void noSlotFound() {
    if (!excludedTargets.isEmpty() || !context.fleet().isFresh()) {
      // A retry already delays the caller, so it does not wait in the queue as well.
      listener.slotRefused(Refusal.NO_CAPACITY);
    } else if (dequeued) {
      dataPath.queues().requeue(this);
    } else {
      enqueue();
    }
  }

  private void enqueue() {
    if (!excludedTargets.isEmpty()) {
      search();
      return;
    }
    dataPath.queues().offer(this);
  }

  void refuse(Refusal refusal) {
    listener.slotRefused(refusal);
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

  /** Returns the monotonic time, in nanoseconds, until which the request may stay in the queue. */
  long queueDeadlineNanos() {
    long mean = service.meanNanos();
    long waitNanos = Math.min(MAX_WAIT_NANOS, Math.max(MIN_WAIT_NANOS, WAIT_FACTOR * mean));
    long waitEndNanos = startNanos + waitNanos;
    long latestStartNanos = deadlineNanos - mean;
    return waitEndNanos - latestStartNanos < 0 ? waitEndNanos : latestStartNanos;
  }
}
