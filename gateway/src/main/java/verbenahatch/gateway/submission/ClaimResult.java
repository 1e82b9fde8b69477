package verbenahatch.gateway.submission;

/** The result of a claim: whether a request may run a submission. */
public sealed interface ClaimResult {

  /**
   * The request has the exclusive right to run the submission.
   *
   * @param claim the claim, to be settled when the request ends
   */
  record Granted(Claim claim) implements ClaimResult {}

  /**
   * The submission has already run.
   *
   * @param status the HTTP status of that run, 0 if not known
   */
  record AlreadyRun(int status) implements ClaimResult {}

  /** The submission was claimed, or its state cannot be known, so it may have run. */
  record Unknown() implements ClaimResult {}

  /** The ticket was never claimed and has expired. */
  record Expired() implements ClaimResult {}

  /** The ticket is forged or malformed, or was issued to another workspace. */
  record Invalid() implements ClaimResult {}

  /**
   * No claim can be made now, and this request made none.
   *
   * @param reason the cause, for people
   */
  record Unavailable(String reason) implements ClaimResult {}
}
