package verbenahatch.ctl.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Follows what one host believed, line by line.
 *
 * <p>Not thread-safe. Lines come in the order in which the host wrote them.
 */
final class HostView {

  private static final int STARTED = 1101;
  private static final int STOPPING = 1102;
  private static final int FEED_REGAINED = 1105;
  private static final int FEED_LOST = 1106;
  private static final int DOCUMENT = 1107;
  private static final int TARGET = 1109;
  private static final int TARGET_EJECTED = 1110;
  private static final int EVACUATION = 1111;
  private static final int PEER = 1112;
  private static final int RELEASE = 1113;

  private @Nullable LogLine document;
  private @Nullable LogLine stopping;
  private final Map<String, LogLine> lostFeeds = new TreeMap<>();
  private final Map<String, LogLine> silentHosts = new TreeMap<>();
  private final Map<String, LogLine> targets = new LinkedHashMap<>();
  private final Map<String, LogLine> evacuations = new TreeMap<>();
  private final Map<String, LogLine> releases = new TreeMap<>();

  /** Takes the next line. */
  void take(LogLine line) {
    switch (line.number()) {
      case STARTED -> forget();
      case STOPPING -> stopping = line;
      case DOCUMENT -> document = line;
      case FEED_LOST -> lostFeeds.put(line.field("kind"), line);
      case FEED_REGAINED -> lostFeeds.remove(line.field("kind"));
      case TARGET, TARGET_EJECTED -> targets.put(line.field("id"), line);
      case RELEASE -> releases.put(line.field("service"), line);
      case EVACUATION ->
          put(evacuations, line.field("zone"), line, "true".equals(line.field("active")));
      case PEER -> put(silentHosts, line.field("host"), line, "false".equals(line.field("heard")));
      default -> {
        // The line tells of a request or of the process, not of what the host believes.
      }
    }
  }

  private void forget() {
    document = null;
    stopping = null;
    lostFeeds.clear();
    silentHosts.clear();
    targets.clear();
    evacuations.clear();
    releases.clear();
  }

  private static void put(Map<String, LogLine> lines, String key, LogLine line, boolean holds) {
    if (holds) {
      lines.put(key, line);
    } else {
      lines.remove(key);
    }
  }

  /**
   * Describes what the host believed when it wrote a line about a request.
   *
   * @param request the line
   * @return one sentence per belief; what no line tells is said so
   */
  List<String> describe(LogLine request) {
    Instant at = request.time();
    List<String> beliefs = new ArrayList<>();
    LogLine known = document;
    beliefs.add(
        known == null
            ? "no line tells which document was in force (VH-1107)"
            : "document "
                + known.field("version")
                + " from "
                + known.field("from")
                + since(known, at));
    LogLine leaving = stopping;
    if (leaving != null) {
      beliefs.add("the host was stopping" + since(leaving, at));
    }
    lostFeeds.forEach(
        (kind, line) ->
            beliefs.add(
                "the store did not tell of "
                    + kind
                    + since(line, at)
                    + ": "
                    + line.field("reason")));
    silentHosts.forEach(
        (host, line) -> beliefs.add("host " + host + " was not heard" + since(line, at)));
    evacuations.forEach(
        (zone, line) -> beliefs.add("zone " + zone + " was evacuated" + since(line, at)));
    releases.forEach(
        (service, line) ->
            beliefs.add(
                "release of "
                    + service
                    + " "
                    + line.field("version")
                    + " at "
                    + line.field("step")
                    + since(line, at)));
    LogLine target = targets.get(request.field("target"));
    if (target != null) {
      String change = target.number() == TARGET_EJECTED ? "avoided" : target.field("change");
      beliefs.add("target " + request.field("target") + " was " + change + since(target, at));
    }
    return beliefs;
  }

  private static String since(LogLine line, Instant at) {
    double seconds = Duration.between(line.time(), at).toMillis() / 1_000.0;
    return String.format(Locale.ROOT, " (since %.1f s)", seconds);
  }
}
