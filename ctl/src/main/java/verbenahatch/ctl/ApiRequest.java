package verbenahatch.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A request to the administration API.
 *
 * @param method the HTTP method
 * @param path the URL-encoded path
 * @param query the query parameters by name
 * @param body the request body, empty if there is none
 * @param waitMillis the longest time that the host may wait for a change, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
record ApiRequest(
    String method, String path, Map<String, String> query, byte[] body, long waitMillis) {

  static ApiRequest of(String method, String... segments) {
    StringBuilder path = new StringBuilder();
    for (String segment : segments) {
      String encoded = URLEncoder.encode(segment, StandardCharsets.UTF_8);
      path.append('/').append(encoded.replace("+", "%20"));
    }
    return new ApiRequest(method, path.toString(), Map.of(), new byte[0], 0);
  }

  /** Returns a copy with a further query parameter, or this request if the value is null. */
  ApiRequest with(String name, @Nullable Object value) {
    if (value == null) {
      return this;
    }
    Map<String, String> extendedQuery = new LinkedHashMap<>(query);
    extendedQuery.put(name, value.toString());
    return new ApiRequest(method, path, extendedQuery, body, waitMillis);
  }

  ApiRequest withBody(byte[] newBody) {
    return new ApiRequest(method, path, query, newBody, waitMillis);
  }

  ApiRequest withWait(long millis) {
    return new ApiRequest(method, path, query, body, millis).with("waitMillis", millis);
  }

  /** Returns whether the request changes something, as opposed to reading or validating. */
  boolean isChange() {
    return !method.equals("GET")
        && !path.endsWith("/validate")
        && !path.endsWith("/diff")
        && !path.equals("/where");
  }
}
