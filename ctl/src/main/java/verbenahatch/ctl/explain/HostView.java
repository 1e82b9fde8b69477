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
 * Reconstructs one host's view of the system from its log, line by line.
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
  private final Map<String, LogLine> timedOutHosts = new TreeMap<>();
  private final Map<String, LogLine> targets = new LinkedHashMap<>();
  private final Map<String, LogLine> evacuations = new TreeMap<>();
  private final Map<String, LogLine> releases = new TreeMap<>();

  /** Updates the view by the next line. */
  void apply(LogLine line) {
    switch (line.number()) {
      case STARTED -> reset();
      case STOPPING -> stopping = line;
      case DOCUMENT -> document = line;
      case FEED_LOST -> lostFeeds.put(line.field("kind"), line);
      case FEED_REGAINED -> lostFeeds.remove(line.field("kind"));
      case TARGET, TARGET_EJECTED -> targets.put(line.field("id"), line);
      case RELEASE -> releases.put(line.field("service"), line);
      case EVACUATION ->
          putOrRemove(evacuations, line.field("zone"), line, "true".equals(line.field("active")));
      case PEER ->
          putOrRemove(timedOutHosts, line.field("host"), line, "false".equals(line.field("heard")));
      default -> {
        // The line is about a request or the process and does not change the host's view.
      }
    }
  }

  private void reset() {
    document = null;
    stopping = null;
    lostFeeds.clear();
    timedOutHosts.clear();
    targets.clear();
    evacuations.clear();
    releases.clear();
  }

  private static void putOrRemove(
      Map<String, LogLine> lines, String key, LogLine line, boolean isActive) {
    if (isActive) {
      lines.put(key, line);
    } else {
      lines.remove(key);
    }
  }

  /**
   * Describes the host's view at the time of a line about a request.
   *
   * @param request the line about the request
   * @return the statements; one says so if no line names the document in force
   */
  List<String> describe(LogLine request) {
    Instant requestTime = request.time();
    List<String> statements = new ArrayList<>();
    LogLine documentInForce = document;
    statements.add(
        documentInForce == null
            ? "no line names the document that was in force (VH-1107)"
            : "document "
                + documentInForce.field("version")
                + " from "
                + documentInForce.field("from")
                + since(documentInForce, requestTime));
    LogLine stoppingLine = stopping;
    if (stoppingLine != null) {
      statements.add("the host was stopping" + since(stoppingLine, requestTime));
    }
    lostFeeds.forEach(
        (kind, line) ->
            statements.add(
                "lost the store's feed of "
                    + kind
                    + since(line, requestTime)
                    + ": "
                    + line.field("reason")));
    timedOutHosts.forEach(
        (host, line) ->
            statements.add("host " + host + " had timed out" + since(line, requestTime)));
    evacuations.forEach(
        (zone, line) ->
            statements.add("zone " + zone + " was evacuated" + since(line, requestTime)));
    releases.forEach(
        (service, line) ->
            statements.add(
                "release of "
                    + service
                    + " "
                    + line.field("version")
                    + " at "
                    + line.field("step")
                    + since(line, requestTime)));
    LogLine target = targets.get(request.field("target"));
    if (target != null) {
      String change = target.number() == TARGET_EJECTED ? "avoided" : target.field("change");
      statements.add(
          "target " + request.field("target") + " was " + change + since(target, requestTime));
    }
    return statements;
  }

  private static String since(LogLine line, Instant requestTime) {
    double seconds = Duration.between(line.time(), requestTime).toMillis() / 1_000.0;
    return String.format(Locale.ROOT, " (since %.1f s)", seconds);
  }
}
