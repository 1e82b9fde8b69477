package verbenahatch.limits;

import verbenahatch.fleet.Fleet;

/**
 * Decides whether this host may use the shares it holds.
 *
 * <p>Shares belong to an incarnation. A process that was fenced gets a new incarnation, and the
 * shares of the old one are reclaimed, so they must not be used any more. Thread-safe.
 */
final class HostLease {

  private final Fleet fleet;
  private volatile String incarnation;

  HostLease(Fleet fleet) {
    this.fleet = fleet;
    this.incarnation = fleet.self().incarnation();
  }

  /** Returns whether this host is fresh and still has the incarnation that holds the shares. */
  boolean isUsable() {
    return fleet.remainingFreshnessNanos() > 0 && isCurrent();
  }

  /** Returns whether this process still has the incarnation that holds the shares. */
  boolean isCurrent() {
    return fleet.self().incarnation().equals(incarnation);
  }

  /** Returns the incarnation that holds the shares. */
  String incarnation() {
    return incarnation;
  }

  /** Binds the shares to a new incarnation; the caller must have emptied them before. */
  void renew(String renewed) {
    incarnation = renewed;
  }
}
