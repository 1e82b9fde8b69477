package verbenahatch.gateway;

import verbenahatch.routing.TargetState;

/**
 * Holds a place at a target until its request ends.
 *
 * @param path what all requests share
 * @param service the service
 * @param target the target; one of its places is taken
 * @param inRegion whether a slot of the region's capacity is taken
 * @param out the meter of bytes to the target
 * @param back the meter of bytes from the target
 */
record Place(
    DataPath path,
    ServiceTargets service,
    TargetState target,
    boolean inRegion,
    LinkMeter out,
    LinkMeter back) {

  /** Gives the place to the next request. */
  void release() {
    target.release();
    if (inRegion) {
      path.context().limits().leaveRegion(target.target().region());
    }
    path.queues().next(service.name(), target.target().version());
  }
}
