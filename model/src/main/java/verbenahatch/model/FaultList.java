package verbenahatch.model;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Collects the faults found while settings or a document are checked. */
final class FaultList {

  /** Names appear in object names, headers and metrics, so length and characters are limited. */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

  /** A dotted quad; host names are rejected because processes connect by IP address. */
  private static final Pattern ADDRESS =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1?\\d?\\d)\\.){3}(25[0-5]|2[0-4]\\d|1?\\d?\\d)");

  private final List<Fault> faults = new ArrayList<>();

  List<Fault> faults() {
    return List.copyOf(faults);
  }

  void add(String path, Object value, String allowed) {
    faults.add(new Fault(path, String.valueOf(value), allowed));
  }

  void require(boolean condition, String path, Object value, String allowed) {
    if (!condition) {
      add(path, value, allowed);
    }
  }

  void name(String path, String value) {
    require(
        NAME.matcher(value).matches(),
        path,
        "\"" + value + "\"",
        "1 to 63 letters, digits, dots, hyphens or underscores, starting with a letter or digit");
  }

  void address(String path, String value) {
    require(ADDRESS.matcher(value).matches(), path, "\"" + value + "\"", "an IPv4 address");
  }

  void range(String path, double value, double min, double max, String unit) {
    require(
        value >= min && value <= max,
        path,
        format(value),
        format(min) + " to " + format(max) + " " + unit);
  }

  void oneOf(String path, String value, Set<String> allowed) {
    require(allowed.contains(value), path, "\"" + value + "\"", "one of " + sorted(allowed));
  }

  void unique(String path, String value, Set<String> usedNames) {
    require(usedNames.add(value), path, "\"" + value + "\"", "a name used once");
  }

  void httpUrl(String path, String value) {
    try {
      URI uri = new URI(value);
      require(
          "http".equals(uri.getScheme()) && uri.getHost() != null,
          path,
          "\"" + value + "\"",
          "an http URL with an IP address and a port");
    } catch (URISyntaxException e) {
      add(path, "\"" + value + "\"", "an http URL with an IP address and a port");
    }
  }

  private static List<String> sorted(Set<String> values) {
    return values.stream().sorted().toList();
  }

  private static String format(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15
        ? Long.toString((long) value)
        : Double.toString(value);
  }
}
