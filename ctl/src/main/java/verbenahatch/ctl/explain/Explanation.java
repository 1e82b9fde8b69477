package verbenahatch.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the log lines about one request and describes them in order of time.
 *
 * <p>Not thread-safe.
 */
public final class Explanation {

  private static final int REQUEST_EVENT = 1114;
  private static final int REQUESTS_NOT_LOGGED_EVENT = 1115;

  private record Entry(LogLine line, String host, List<String> statements) {}

  private final String id;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Long> linesLeftOut = new TreeMap<>();
  private long numberedLines;

  /**
   * Creates an explanation without log lines.
   *
   * @param id the id of the request, not null
   */
  public Explanation(String id) {
    this.id = id;
  }

  /**
   * Reads the log of one host, or of several hosts if each line begins with the host's name.
   *
   * @param defaultHost the host's name if the lines do not begin with one
   * @param texts the lines in the order of the log; lines without an event number are skipped
   */
  public void read(String defaultHost, Iterable<String> texts) {
    Map<String, HostView> views = new TreeMap<>();
    String host = defaultHost;
    for (String text : texts) {
      LogLine line = LogLine.parse(text);
      if (line == null) {
        continue;
      }
      numberedLines++;
      if (!line.host().isEmpty()) {
        host = line.host();
      }
      HostView view = views.computeIfAbsent(host, key -> new HostView());
      view.apply(line);
      if (line.number() == REQUEST_EVENT && line.field("id").equals(id)) {
        entries.add(new Entry(line, host, view.describe(line)));
      } else if (line.number() == REQUESTS_NOT_LOGGED_EVENT) {
        linesLeftOut.merge(host, count(line.field("count")), Long::sum);
      }
    }
  }

  // A truncated line without a count still shows that at least one line was left out.
  private static long count(String text) {
    return text.matches("\\d{1,9}") ? Long.parseLong(text) : 1;
  }

  /**
   * Returns whether any line that was read is about the request.
   *
   * @return true if there is at least one such line
   */
  public boolean isFound() {
    return !entries.isEmpty();
  }

  /**
   * Describes the request.
   *
   * @return lines of text; they also say which log lines are missing
   */
  public List<String> describe() {
    List<String> text = new ArrayList<>();
    if (numberedLines == 0) {
      text.add("The files hold no numbered line of a host.");
    } else if (entries.isEmpty()) {
      text.add("No line is about request " + id + ": its first target served it, no host got it,");
      text.add("or its line was left out.");
    }
    entries.sort(Comparator.comparing(entry -> entry.line.time()));
    for (Entry entry : entries) {
      describe(entry, text);
    }
    linesLeftOut.forEach(
        (host, count) ->
            text.add("Host " + host + " left out " + count + " lines about requests."));
    return text;
  }

  private static void describe(Entry entry, List<String> text) {
    LogLine line = entry.line;
    String reason = line.field("reason");
    text.add(line.time() + " host " + entry.host + ": " + describeOutcome(line.field("outcome")));
    text.add(
        "  outcome "
            + line.field("outcome")
            + ", status "
            + line.field("status")
            + (reason.isEmpty() || "-".equals(reason) ? "" : ", " + reason));
    text.add(
        "  route "
            + line.field("route")
            + ", workspace "
            + line.field("workspace")
            + ", target "
            + line.field("target")
            + ", attempts "
            + line.field("attempts")
            + ", after "
            + line.field("elapsed_ms")
            + " ms, "
            + line.field("remaining_ms")
            + " ms left");
    for (String statement : entry.statements) {
      text.add("  " + statement);
    }
  }

  /**
   * Describes the meaning of an outcome.
   *
   * @param outcome the outcome as named in the line
   * @return one sentence; it says so if the outcome is not known
   */
  static String describeOutcome(String outcome) {
    return switch (outcome) {
      case "passed" ->
          "a target's response was forwarded, after a retry or as the target's failure.";
      case "broken-off" -> "the target closed the connection while its response was forwarded.";
      case "caller-left" -> "the caller disconnected before the response.";
      case "NO_DOCUMENT" -> "the host had not read all objects of the store.";
      case "STOPPING" -> "the host was stopping.";
      case "NO_ROUTE" -> "no route of the document in force matched.";
      case "BAD_KEY" -> "no workspace of the document in force holds the key.";
      case "BAD_REQUEST" -> "the request has no id, host or path.";
      case "BODY_TOO_LONG" -> "the body is longer than the document allows.";
      case "BODY_INCOMPLETE" -> "the body did not arrive completely.";
      case "NO_MEMORY" -> "bodies of other requests used up the memory for bodies.";
      case "OVER_QUOTA" -> "the workspace exceeded this host's share of its rate.";
      case "NO_CAPACITY" -> "no target could respond in time.";
      case "REJECTED" -> "targets rejected the request without running it.";
      case "EXPIRED" -> "the deadline passed before the request was sent.";
      case "TIMED_OUT" -> "the deadline passed while a target processed the request.";
      case "TARGET_FAILED" -> "the target closed the connection or sent an invalid response.";
      case "INTERNAL" -> "the host failed; see VH-1118.";
      default -> "the outcome is not known to this version.";
    };
  }
}
