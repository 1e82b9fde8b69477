package verbenahatch.admin;

import java.util.List;
import java.util.Map;
import verbenahatch.kernel.Result;

/**
 * Holds one call as its handler sees it.
 *
 * @param method the HTTP method
 * @param path the segments of the path after {@code /v1}
 * @param query the parameters, the first of each name
 * @param body the body, empty if there is none
 * @param operator the name of the operator
 */
@SuppressWarnings("ArrayRecordComponent")
record AdminCall(
    String method, List<String> path, Map<String, String> query, byte[] body, String operator) {

  String segment(int index) {
    return path.get(index);
  }

  /** Reads the generation that the caller saw. */
  Result<Long, AdminError> seen(String name) {
    String text = query.getOrDefault(name, "");
    try {
      long value = Long.parseLong(text);
      if (value >= 0) {
        return Result.ok(value);
      }
    } catch (NumberFormatException e) {
      return badSeen(name, text);
    }
    return badSeen(name, text);
  }

  /** Reads a number within bounds, or the default if it is absent or not a number. */
  long number(String name, long otherwise, long max) {
    try {
      return Math.max(0, Math.min(max, Long.parseLong(query.getOrDefault(name, ""))));
    } catch (NumberFormatException e) {
      return otherwise;
    }
  }

  private static Result<Long, AdminError> badSeen(String name, String text) {
    return Result.err(
        AdminError.BadInput.of(
            name, "\"" + text + "\"", "the generation that you saw, 0 if there was none"));
  }
}
