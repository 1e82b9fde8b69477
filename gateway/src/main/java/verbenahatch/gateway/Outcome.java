package verbenahatch.gateway;

/** Tells a caller whether its request ran at a target. */
public enum Outcome {
  /** No byte of the request was handled by a target, now or later. */
  NOT_RUN("not-run"),
  /** A target ran the request. */
  RUN("run"),
  /** A target may have run the request. */
  UNKNOWN("unknown");

  private final String text;

  Outcome(String text) {
    this.text = text;
  }

  /**
   * Returns the text in headers and bodies.
   *
   * @return lower-case text with hyphens
   */
  public String text() {
    return text;
  }
}
