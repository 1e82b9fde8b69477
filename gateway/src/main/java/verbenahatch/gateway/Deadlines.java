package verbenahatch.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Reads deadlines of callers. */
final class Deadlines {

  private Deadlines() {}

  /**
   * Returns the time that a request may take.
   *
   * @param headers the caller's headers
   * @param mostMillis the limit of the route, in milliseconds
   * @return milliseconds, null if the header is not a number
   */
  static @Nullable Long millis(HttpFields headers, long mostMillis) {
    String value = headers.get(HeaderNames.DEADLINE);
    if (value == null) {
      return mostMillis;
    }
    try {
      return Math.min(mostMillis, Long.parseLong(value.trim()));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
