package verbenahatch.gateway;

import java.util.Locale;

/** Names the headers between callers, the gateway and targets. */
public final class HeaderNames {

  /** The start of every name that the gateway owns. */
  public static final String PREFIX = "Verbenahatch-";

  /** Carries the caller's key. */
  public static final String KEY = "Verbenahatch-Key";

  /** Carries the time left until the deadline, in milliseconds, from callers and to targets. */
  public static final String DEADLINE = "Verbenahatch-Deadline-Millis";

  /** Tells a target the workspace of the request. */
  public static final String WORKSPACE = "Verbenahatch-Workspace";

  /** Carries an id per attempt to a target; a target repeats it in its answer. */
  public static final String REQUEST_ID = "Verbenahatch-Request-Id";

  /** Carries the id under which a caller submits a request that must run at most once. */
  public static final String SUBMISSION = "Verbenahatch-Submission";

  /** Carries a ticket. */
  public static final String TICKET = "Verbenahatch-Ticket";

  /** Carries the caller's own key for a submission. */
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** Tells a caller the HTTP status of an earlier run of its submission. */
  public static final String RUN_STATUS = "Verbenahatch-Run-Status";

  /** Tells a caller the code of a refusal. */
  public static final String REASON = "Verbenahatch-Reason";

  /** Tells a caller whether the request ran. */
  public static final String OUTCOME = "Verbenahatch-Outcome";

  /** Tells the gateway that a target shed a request; {@code not-run} says that it did not run. */
  public static final String SHED = "Verbenahatch-Shed";

  private HeaderNames() {}

  /**
   * Tells whether a name belongs to the gateway.
   *
   * @param name the name of a header
   * @return true if it starts with {@link #PREFIX} in any case
   */
  public static boolean isOwn(String name) {
    return name.toLowerCase(Locale.ROOT).startsWith("verbenahatch-");
  }
}
