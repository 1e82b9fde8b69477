package verbenahatch.gateway;

import verbenahatch.routing.TargetState;

/**
 * A slot at a target, held by one request until it ends.
 *
 * @param dataPath the state that all requests share
 * @param service the targets of the service
 * @param target the target; one of its slots is held
 * @param holdsRegionSlot whether a slot of the region's capacity is held
 * @param requestMeter the meter of bytes to the target
 * @param responseMeter the meter of bytes from the target
 */
record Slot(
    DataPath dataPath,
    ServiceTargets service,
    TargetState target,
    boolean holdsRegionSlot,
    LinkMeter requestMeter,
    LinkMeter responseMeter) {

  /** Frees the slot and lets the next waiting request search for one. */
  void release() {
    target.release();
    if (holdsRegionSlot) {
      dataPath.context().limits().leaveRegion(target.target().region());
    }
    dataPath.queues().resumeNext(service.name(), target.target().version());
  }
}
