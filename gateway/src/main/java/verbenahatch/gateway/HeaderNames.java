package verbenahatch.gateway;

import java.util.Locale;

/** Names of the header fields that callers, the gateway and targets exchange. */
public final class HeaderNames {

  /** Prefix of every field name that is reserved for the gateway. */
  public static final String PREFIX = "Verbenahatch-";

  /** The caller's key. */
  public static final String KEY = "Verbenahatch-Key";

  /** Time left until the deadline, in milliseconds, in requests of callers and to targets. */
  public static final String DEADLINE = "Verbenahatch-Deadline-Millis";

  /** The workspace of the request, in requests to targets. */
  public static final String WORKSPACE = "Verbenahatch-Workspace";

  /** The id of an attempt, in requests to targets; a target returns it in its response. */
  public static final String REQUEST_ID = "Verbenahatch-Request-Id";

  /** The id of a submission, which must run at most once, in requests to targets. */
  public static final String SUBMISSION = "Verbenahatch-Submission";

  /** The ticket of a submission. */
  public static final String TICKET = "Verbenahatch-Ticket";

  /** The idempotency key of a submission, chosen by the caller. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** The HTTP status of an earlier run of the submission, in responses to callers. */
  public static final String RUN_STATUS = "Verbenahatch-Run-Status";

  /** The code of a refusal, in responses to callers. */
  public static final String REASON = "Verbenahatch-Reason";

  /** Whether the request ran, in responses to callers. */
  public static final String OUTCOME = "Verbenahatch-Outcome";

  /**
   * Set in the response of a target that shed the request; {@code not-run} means that it did not
   * run.
   */
  public static final String SHED = "Verbenahatch-Shed";

  private HeaderNames() {}

  /**
   * Returns whether a field name is reserved for the gateway.
   *
   * @param name the name of a header field
   * @return true if it starts with {@link #PREFIX}, compared without regard to case
   */
  public static boolean isReserved(String name) {
    return name.toLowerCase(Locale.ROOT).startsWith("verbenahatch-");
  }
}
