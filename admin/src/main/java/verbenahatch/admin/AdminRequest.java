package verbenahatch.admin;

import java.util.List;
import java.util.Map;
import verbenahatch.kernel.Result;

/**
 * A parsed request to the administration API.
 *
 * @param method the HTTP method
 * @param path the decoded segments of the path after {@code /v1}
 * @param query the query parameters by name, the last value of each name
 * @param body the request body, empty if there is none
 * @param operator the name of the operator whose credentials were sent
 */
@SuppressWarnings("ArrayRecordComponent")
record AdminRequest(
    String method, List<String> path, Map<String, String> query, byte[] body, String operator) {

  String segment(int index) {
    return path.get(index);
  }

  /** Parses the generation that the operator expects to be current; a bad input if absent. */
  Result<Long, AdminError> expectedGeneration(String name) {
    String text = query.getOrDefault(name, "");
    try {
      long value = Long.parseLong(text);
      if (value >= 0) {
        return Result.ok(value);
      }
    } catch (NumberFormatException e) {
      return invalidGeneration(name, text);
    }
    return invalidGeneration(name, text);
  }

  /**
   * Parses a number and clamps it to the range from 0 to {@code max}; returns the default if it is
   * absent or not a number.
   */
  long number(String name, long defaultValue, long max) {
    try {
      return Math.max(0, Math.min(max, Long.parseLong(query.getOrDefault(name, ""))));
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }

  private static Result<Long, AdminError> invalidGeneration(String name, String text) {
    return Result.err(
        AdminError.BadInput.of(
            name, "\"" + text + "\"", "the generation that you saw, 0 if there was none"));
  }
}
