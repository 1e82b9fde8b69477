package verbenahatch.gateway;

/** Whether a request ran at a target, as reported to the caller. */
public enum Outcome {
  /** No byte of the request was handled by a target, and none will be. */
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
   * Returns the text used in header fields and bodies.
   *
   * @return lower-case text with hyphens
   */
  public String text() {
    return text;
  }
}
