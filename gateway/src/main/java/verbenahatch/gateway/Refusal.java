package verbenahatch.gateway;

/**
 * Reasons why the gateway responds in place of a target; {@code docs/refusals.md} explains each.
 */
public enum Refusal {
  /** The request is malformed or ambiguous. */
  BAD_REQUEST("bad-request", 400, Outcome.NOT_RUN, "The request is malformed or ambiguous."),
  /** The path contains a key. */
  KEY_IN_PATH("key-in-path", 400, Outcome.NOT_RUN, "The path must not carry a key."),
  /** Two different keys were presented. */
  KEY_AMBIGUOUS("key-ambiguous", 400, Outcome.NOT_RUN, "The request presents two different keys."),
  /** No route matches the path. */
  NO_ROUTE("no-route", 404, Outcome.NOT_RUN, "No route matches the path."),
  /** A route matches the path but not the method. */
  METHOD_NOT_ALLOWED("method-not-allowed", 405, Outcome.NOT_RUN, "No route has this method."),
  /** The route needs a key. */
  KEY_MISSING("key-missing", 401, Outcome.NOT_RUN, "This route needs a key."),
  /** The key is not known. */
  KEY_UNKNOWN("key-unknown", 401, Outcome.NOT_RUN, "The key is not known."),
  /** The key was withdrawn. */
  KEY_WITHDRAWN("key-withdrawn", 401, Outcome.NOT_RUN, "The key was withdrawn."),
  /** The workspace of the key is not in the configuration. */
  WORKSPACE_UNKNOWN(
      "workspace-unknown", 403, Outcome.NOT_RUN, "The workspace of the key may not call."),
  /** This host is out of contact with the fleet, so it cannot know what is in force. */
  HOST_NOT_FRESH(
      "host-not-fresh", 503, Outcome.NOT_RUN, "This host is out of contact with the fleet."),
  /** This host has no configuration yet. */
  NO_CONFIGURATION("no-configuration", 503, Outcome.NOT_RUN, "This host has no configuration yet."),
  /** This host is stopping. */
  HOST_STOPPING("host-stopping", 503, Outcome.NOT_RUN, "This host is stopping."),
  /** The workspace has used up its rate and burst. */
  OVER_LIMIT("over-limit", 429, Outcome.NOT_RUN, "The workspace is over its rate and burst."),
  /** No target of the service may get requests. */
  NO_TARGET("no-target", 503, Outcome.NOT_RUN, "No target of the service is available."),
  /** Every target, region or link that could run the request is full. */
  NO_CAPACITY("no-capacity", 503, Outcome.NOT_RUN, "No region has capacity for the request."),
  /** The deadline can no longer be met. */
  DEADLINE_UNREACHABLE("deadline-unreachable", 503, Outcome.NOT_RUN, "The deadline cannot be met."),
  /** No target accepted a connection. */
  TARGET_UNREACHABLE(
      "target-unreachable", 502, Outcome.NOT_RUN, "No connection to a target could be opened."),
  /** The target shed the request without running it. */
  TARGET_SHED("target-shed", 503, Outcome.NOT_RUN, "The target shed the request."),
  /** The connection to the target failed after a byte may have been sent. */
  TARGET_FAILED("target-failed", 502, Outcome.UNKNOWN, "The target did not answer completely."),
  /** The response belongs to another request. */
  ANSWER_MISMATCHED(
      "answer-mismatched", 502, Outcome.UNKNOWN, "The target answered another request."),
  /** The deadline passed after a byte may have been sent. */
  DEADLINE_EXCEEDED(
      "deadline-exceeded", 504, Outcome.UNKNOWN, "The target did not answer by the deadline."),
  /** The ticket is forged or malformed, or was issued to another workspace. */
  TICKET_INVALID("ticket-invalid", 400, Outcome.NOT_RUN, "The ticket is not valid here."),
  /** The ticket expired before it was used. */
  TICKET_EXPIRED("ticket-expired", 410, Outcome.NOT_RUN, "The ticket was not used in time."),
  /** The submission ran before this request. */
  ALREADY_RUN("already-run", 409, Outcome.RUN, "The submission ran already."),
  /** The submission may have run before this request. */
  SUBMISSION_UNKNOWN(
      "submission-unknown", 409, Outcome.UNKNOWN, "The submission may have run already."),
  /** The claim by idempotency key cannot be made now. */
  CLAIM_UNAVAILABLE(
      "claim-unavailable", 503, Outcome.NOT_RUN, "The submission cannot be claimed now."),
  /** The gateway failed before a byte was sent. */
  INTERNAL("internal-error", 500, Outcome.NOT_RUN, "The host failed to handle the request.");

  private final String code;
  private final int status;
  private final Outcome outcome;
  private final String message;

  Refusal(String code, int status, Outcome outcome, String message) {
    this.code = code;
    this.status = status;
    this.outcome = outcome;
    this.message = message;
  }

  /**
   * Returns the code used in the body and in the header field {@code Verbenahatch-Reason}.
   *
   * @return lower-case text with hyphens
   */
  public String code() {
    return code;
  }

  /**
   * Returns the HTTP status.
   *
   * @return a status from 400 to 599
   */
  public int status() {
    return status;
  }

  /**
   * Returns whether the request ran, as far as the gateway can know.
   *
   * @return the outcome
   */
  public Outcome outcome() {
    return outcome;
  }

  /**
   * Returns the message for people.
   *
   * @return one sentence
   */
  public String message() {
    return message;
  }
}
