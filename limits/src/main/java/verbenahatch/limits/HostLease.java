package verbenahatch.limits;

import verbenahatch.fleet.Fleet;

/**
 * Tells whether this host may use the shares it holds.
 *
 * <p>Shares belong to an incarnation. A process that was fenced draws a new one, and the shares of
 * the old one are reclaimed, so they must not be used any more.
 */
final class HostLease {

  private final Fleet fleet;
  private volatile String incarnation;

  HostLease(Fleet fleet) {
    this.fleet = fleet;
    this.incarnation = fleet.self().incarnation();
  }

  /** Returns true if this host is fresh and still has the incarnation that holds the shares. */
  boolean isUsable() {
    return fleet.freshNanosLeft() > 0 && isCurrent();
  }

  /** Returns true if this process still has the incarnation that holds the shares. */
  boolean isCurrent() {
    return fleet.self().incarnation().equals(incarnation);
  }

  /** Returns the incarnation that holds the shares. */
  String incarnation() {
    return incarnation;
  }

  /** Binds the shares, which the caller has emptied, to the current incarnation. */
  void renew(String current) {
    incarnation = current;
  }
}
