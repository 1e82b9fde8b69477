package verbenahatch.http;

import org.eclipse.jetty.http.HttpStatus;

/**
 * Tells which status codes a final response may have.
 *
 * <p>A server in trouble may send others, and the library passes on 600 to 999. Such a message is
 * not a response: it does not tell whether the request ran.
 */
public final class ResponseStatus {

  private static final int MIN_FINAL = 200;
  private static final int MAX_FINAL = 599;

  private ResponseStatus() {}

  /**
   * Returns whether a final response may have a status.
   *
   * @param status the status, any number
   * @return true from 200 to 599
   */
  public static boolean isFinal(int status) {
    return status >= MIN_FINAL && status <= MAX_FINAL;
  }

  /**
   * Describes a status that no final response may have.
   *
   * @param status the status
   * @return a reason for logs, not null
   */
  public static String describeInvalid(int status) {
    return HttpStatus.isInformational(status)
        ? "interim response in place of a final one: " + status
        : "invalid status " + status;
  }
}
