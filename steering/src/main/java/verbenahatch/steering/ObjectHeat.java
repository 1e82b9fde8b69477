package verbenahatch.steering;

/** Tells whether a target probably holds what a request needs in its caches. */
enum ObjectHeat {
  /** This host saw the target handle the object a short time ago. */
  WARM(0),
  /** The target is the first for the object, so another host may have sent it there. */
  LIKELY_WARM(0.35),
  /** Nothing speaks for it. */
  COLD(1);

  private final double coldPart;

  ObjectHeat(double coldPart) {
    this.coldPart = coldPart;
  }

  /** Returns the part of the further time for a cold object that is expected. */
  double coldPart() {
    return coldPart;
  }
}
