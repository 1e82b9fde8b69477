package verbenahatch.steering.model;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads durations that are written with their unit, such as {@code 1500ms} or {@code 2.5s}. */
public final class Durations {

  private static final Pattern DURATION_PATTERN =
      Pattern.compile("(\\d{1,12}(?:\\.\\d{1,6})?)(ms|s)");

  private Durations() {}

  /**
   * Reads a duration.
   *
   * @param text a number followed by {@code ms} or {@code s}
   * @return the duration in milliseconds, empty if the text has another form
   */
  public static OptionalLong readMillis(String text) {
    Matcher matcher = DURATION_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return OptionalLong.empty();
    }
    double amount = Double.parseDouble(matcher.group(1));
    return OptionalLong.of(Math.round(matcher.group(2).equals("s") ? amount * 1_000 : amount));
  }
}
