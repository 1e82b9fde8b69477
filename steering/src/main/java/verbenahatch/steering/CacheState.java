package verbenahatch.steering;

/** Says how likely a target has the object of a request in its cache. */
enum CacheState {
  /** The target handled the object recently for a request of this host. */
  WARM(0),
  /** The target is first in hash order for the object, so other hosts may have sent it there. */
  LIKELY_WARM(0.35),
  /** Nothing indicates that the target has the object. */
  COLD(1);

  private final double coldFraction;

  CacheState(double coldFraction) {
    this.coldFraction = coldFraction;
  }

  /** Returns the expected fraction of the extra time for a cold object, from 0 to 1. */
  double coldFraction() {
    return coldFraction;
  }
}
