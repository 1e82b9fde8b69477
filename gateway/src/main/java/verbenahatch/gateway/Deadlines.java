package verbenahatch.gateway;

import org.eclipse.jetty.http.HttpFields;
import org.jspecify.annotations.Nullable;

/** Reads the deadline header of requests. */
final class Deadlines {

  private Deadlines() {}

  /**
   * Returns how long a request may take: the value of its deadline header, at most the timeout of
   * its route.
   *
   * @param headers the caller's headers
   * @param routeTimeoutMillis the timeout of the route, in milliseconds; used if the header is
   *     absent
   * @return the timeout in milliseconds, zero or negative if the deadline has passed; null if the
   *     header is not a number
   */
  static @Nullable Long requestTimeoutMillis(HttpFields headers, long routeTimeoutMillis) {
    String value = headers.get(HeaderNames.DEADLINE);
    if (value == null) {
      return routeTimeoutMillis;
    }
    try {
      return Math.min(routeTimeoutMillis, Long.parseLong(value.trim()));
    } catch (NumberFormatException e) {
      return null;
    }
  }
}
