package verbenahatch.steering;

import java.util.Locale;

/** Tells what ended an attempt that was sent and got no complete, valid response. */
enum AttemptEnd {
  /** This host aborted the attempt while the target may still have been working. */
  ABORTED,
  /** The time of the attempt was over while the target may still have been working. */
  TIMEOUT,
  /** The response could not be accepted. */
  INVALID_RESPONSE,
  /** The connection to the target broke. */
  CONNECTION;

  /**
   * Returns what ended an attempt.
   *
   * @param aborted whether this host aborted it
   * @param timedOut whether its time was over
   * @param invalidResponse whether its response was not accepted
   */
  static AttemptEnd of(boolean aborted, boolean timedOut, boolean invalidResponse) {
    if (aborted) {
      return ABORTED;
    }
    if (timedOut) {
      return TIMEOUT;
    }
    return invalidResponse ? INVALID_RESPONSE : CONNECTION;
  }

  /** Returns the name in logs and metrics. */
  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
