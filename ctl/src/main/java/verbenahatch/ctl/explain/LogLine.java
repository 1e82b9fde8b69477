package verbenahatch.ctl.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * One line of a host's log with an event number.
 *
 * @param time the time at which the line was written, by the host's clock
 * @param host the host's name if the line begins with it, otherwise empty
 * @param number the event number
 * @param fields the named values in the order of the line; values may contain spaces
 */
record LogLine(Instant time, String host, int number, Map<String, String> fields) {

  /** Log collectors may prefix a line with the host's name and a time of their own. */
  private static final Pattern LINE =
      Pattern.compile(
          "^(?:\\s*\\S*\\s+(\\S+)\\s+)?(\\d{4}-\\d\\d-\\d\\dT\\S+) [A-Z]+ VH-(\\d+) (.*)$");

  private static final Pattern FIELD = Pattern.compile("(\\w+)=(.*?)(?= \\w+=|$)");

  /**
   * Parses a line.
   *
   * @param text the line without its terminator
   * @return the line, or null if the text is not a line with an event number
   */
  static @Nullable LogLine parse(String text) {
    Matcher matcher = LINE.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    Instant time;
    try {
      time = Instant.parse(matcher.group(2));
    } catch (DateTimeParseException e) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher fieldMatcher = FIELD.matcher(matcher.group(4));
    while (fieldMatcher.find()) {
      fields.put(fieldMatcher.group(1), fieldMatcher.group(2));
    }
    String host = matcher.group(1) == null ? "" : matcher.group(1);
    return new LogLine(time, host, Integer.parseInt(matcher.group(3)), fields);
  }

  /** Returns a named value, or a hyphen if the line has no such value. */
  String field(String name) {
    return fields.getOrDefault(name, "-");
  }
}
