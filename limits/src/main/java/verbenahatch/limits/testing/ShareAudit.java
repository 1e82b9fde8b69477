package verbenahatch.limits.testing;

import org.jspecify.annotations.Nullable;
import verbenahatch.limits.Share;
import verbenahatch.limits.SharedLimits;

/** Checks the usable shares of one limit over all hosts of a simulation. */
public final class ShareAudit {

  private ShareAudit() {}

  /**
   * Returns the sum of the shares that hosts may use and the pools that coordinators may grant
   * from.
   *
   * @param simulation the hosts
   * @param limit the name of the limit
   * @return the sum, without shares in transfer between hosts
   */
  public static Share sum(LimitSimulation simulation, String limit) {
    Share sum = Share.NONE;
    for (SimulatedHost host : simulation.hosts()) {
      if (!simulation.mayUseShares(host)) {
        continue;
      }
      SharedLimits.@Nullable View view = host.limits().view().get(limit);
      if (view != null) {
        sum = sum.plus(view.share());
        if (view.pool() != null && host.isRunning() && host.isFresh()) {
          Share pool = view.pool();
          sum = sum.plus(new Share(Math.max(0, pool.rate()), Math.max(0, pool.burst()), 0));
        }
      }
    }
    return sum;
  }

  /**
   * Returns whether a total is in force: every host has adopted the document, and the coordinator
   * has no outstanding shares above the total.
   *
   * @param simulation the hosts
   * @param limit the name of the limit
   * @param generation the generation of the document
   * @return true if the total is in force
   */
  public static boolean isSettled(LimitSimulation simulation, String limit, long generation) {
    boolean settled = false;
    for (SimulatedHost host : simulation.hosts()) {
      if (!simulation.mayUseShares(host)) {
        continue;
      }
      if (host.generation() < generation) {
        return false;
      }
      SharedLimits.@Nullable View view = host.limits().view().get(limit);
      if (view != null && view.pool() != null && host.isRunning() && host.isFresh()) {
        // The coordinator applies a document some milliseconds after its host adopts it.
        boolean applied = view.total().equals(view.poolTotal());
        settled |= applied && view.pool().rate() >= 0 && view.pool().burst() >= 0;
      }
    }
    return settled;
  }
}
