package verbenahatch.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Holds one call to the administration API.
 *
 * @param method the HTTP method
 * @param path the path, encoded
 * @param query the parameters
 * @param body the body, empty if there is none
 * @param waitMillis time that the host may wait on purpose, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
record ApiCall(
    String method, String path, Map<String, String> query, byte[] body, long waitMillis) {

  static ApiCall of(String method, String... segments) {
    StringBuilder path = new StringBuilder();
    for (String segment : segments) {
      String encoded = URLEncoder.encode(segment, StandardCharsets.UTF_8);
      path.append('/').append(encoded.replace("+", "%20"));
    }
    return new ApiCall(method, path.toString(), Map.of(), new byte[0], 0);
  }

  /** Adds a parameter; null adds nothing. */
  ApiCall with(String name, @Nullable Object value) {
    if (value == null) {
      return this;
    }
    Map<String, String> extended = new LinkedHashMap<>(query);
    extended.put(name, value.toString());
    return new ApiCall(method, path, extended, body, waitMillis);
  }

  ApiCall withBody(byte[] text) {
    return new ApiCall(method, path, query, text, waitMillis);
  }

  ApiCall withWait(long millis) {
    return new ApiCall(method, path, query, body, millis).with("waitMillis", millis);
  }

  /** Tells whether the call changes something, as opposed to reading or checking. */
  boolean isChange() {
    return !method.equals("GET") && !path.endsWith("/validate") && !path.endsWith("/diff");
  }
}
