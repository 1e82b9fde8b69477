package verbenahatch.ctl.explain;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Holds one numbered line of a host's log.
 *
 * @param time the time at which it was written, by the host's clock
 * @param host the host if the line says it, otherwise the empty text
 * @param number the number of the event
 * @param fields the named values of the line in their order; values may hold spaces
 */
record LogLine(Instant time, String host, int number, Map<String, String> fields) {

  /** Collectors of logs put the host's name, and perhaps a time of their own, before the line. */
  private static final Pattern LINE =
      Pattern.compile(
          "^(?:\\s*\\S*\\s+(\\S+)\\s+)?(\\d{4}-\\d\\d-\\d\\dT\\S+) [A-Z]+ VH-(\\d+) (.*)$");

  private static final Pattern FIELD = Pattern.compile("(\\w+)=(.*?)(?= \\w+=|$)");

  /**
   * Reads a line.
   *
   * @param text the text, without its end of line
   * @return null if the text is no numbered line
   */
  static @Nullable LogLine parse(String text) {
    Matcher line = LINE.matcher(text);
    if (!line.matches()) {
      return null;
    }
    Instant time;
    try {
      time = Instant.parse(line.group(2));
    } catch (DateTimeParseException e) {
      return null;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    Matcher field = FIELD.matcher(line.group(4));
    while (field.find()) {
      fields.put(field.group(1), field.group(2));
    }
    String host = line.group(1) == null ? "" : line.group(1);
    return new LogLine(time, host, Integer.parseInt(line.group(3)), fields);
  }

  /** Returns a named value, a hyphen if the line has none. */
  String field(String name) {
    return fields.getOrDefault(name, "-");
  }
}
