package verbenahatch.gateway.submission;

/** Tells whether a request may run a submission. */
public sealed interface ClaimResult {

  /**
   * The request has the sole right.
   *
   * @param claim the right
   */
  record Granted(Claim claim) implements ClaimResult {}

  /**
   * The submission ran already.
   *
   * @param status the HTTP status of that run, 0 if not known
   */
  record AlreadyRun(int status) implements ClaimResult {}

  /** The submission was claimed, or its state cannot be known, so it may have run. */
  record Unknown() implements ClaimResult {}

  /** The ticket was never claimed and is too old. */
  record Expired() implements ClaimResult {}

  /** The ticket is forged, mistyped or belongs to another workspace. */
  record Invalid() implements ClaimResult {}

  /**
   * No claim can be made now, and this request made none.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements ClaimResult {}
}
