package verbenahatch.ctl.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Gathers the lines about one request into one account in order of time.
 *
 * <p>Not thread-safe.
 */
public final class Explanation {

  private static final int REQUEST = 1114;
  private static final int NOT_LOGGED = 1115;

  private record Entry(LogLine line, String host, List<String> beliefs) {}

  private final String id;
  private final List<Entry> entries = new ArrayList<>();
  private final Map<String, Long> leftOut = new TreeMap<>();
  private long lines;

  /**
   * Creates an account without lines.
   *
   * @param id the id of the request, not null
   */
  public Explanation(String id) {
    this.id = id;
  }

  /**
   * Reads the log of a host, or of several if each line begins with the host's name.
   *
   * @param name the host's name if the lines do not say it
   * @param texts the lines in order; lines without a number are skipped
   */
  public void read(String name, Iterable<String> texts) {
    Map<String, HostView> views = new TreeMap<>();
    String host = name;
    for (String text : texts) {
      LogLine line = LogLine.parse(text);
      if (line == null) {
        continue;
      }
      lines++;
      if (!line.host().isEmpty()) {
        host = line.host();
      }
      HostView view = views.computeIfAbsent(host, key -> new HostView());
      view.take(line);
      if (line.number() == REQUEST && line.field("id").equals(id)) {
        entries.add(new Entry(line, host, view.describe(line)));
      } else if (line.number() == NOT_LOGGED) {
        leftOut.merge(host, count(line.field("count")), Long::sum);
      }
    }
  }

  // A line that was cut off still tells that at least one line was left out.
  private static long count(String text) {
    return text.matches("\\d{1,9}") ? Long.parseLong(text) : 1;
  }

  /**
   * Tells whether any line is about the request.
   *
   * @return false if none was read
   */
  public boolean isFound() {
    return !entries.isEmpty();
  }

  /**
   * Writes the account.
   *
   * @return lines of text; what is missing is said
   */
  public List<String> describe() {
    List<String> text = new ArrayList<>();
    if (lines == 0) {
      text.add("The files hold no numbered line of a host.");
    } else if (entries.isEmpty()) {
      text.add("No line is about request " + id + ": its first target served it, no host got it,");
      text.add("or its line was left out.");
    }
    entries.sort(Comparator.comparing(entry -> entry.line.time()));
    for (Entry entry : entries) {
      describe(entry, text);
    }
    leftOut.forEach(
        (host, count) ->
            text.add("Host " + host + " left out " + count + " lines about requests."));
    return text;
  }

  private static void describe(Entry entry, List<String> text) {
    LogLine line = entry.line;
    String reason = line.field("reason");
    text.add(line.time() + " host " + entry.host + ": " + cause(line.field("outcome")));
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
    for (String belief : entry.beliefs) {
      text.add("  " + belief);
    }
  }

  /**
   * Says what an outcome means.
   *
   * @param outcome the name in the line
   * @return one sentence; it says so if the outcome is not known
   */
  static String cause(String outcome) {
    return switch (outcome) {
      case "passed" ->
          "a target's answer was passed on, after a repeat or as the target's failure.";
      case "broken-off" -> "the target broke off while its answer was passed on.";
      case "caller-left" -> "the caller left before the answer.";
      case "NO_DOCUMENT" -> "the host had not read all objects of the store.";
      case "STOPPING" -> "the host was ending.";
      case "NO_ROUTE" -> "no route of the document in force matched.";
      case "BAD_KEY" -> "no workspace of the document in force holds the key.";
      case "BAD_REQUEST" -> "the request has no id, host or path.";
      case "BODY_TOO_LONG" -> "the body is longer than the document allows.";
      case "BODY_INCOMPLETE" -> "the body did not arrive.";
      case "NO_MEMORY" -> "bodies of other requests used the memory for them.";
      case "OVER_QUOTA" -> "the workspace was over this host's part of its rate.";
      case "NO_CAPACITY" -> "no target could answer in time.";
      case "REJECTED" -> "targets rejected the request without running it.";
      case "EXPIRED" -> "the time ran out before the request was sent.";
      case "TIMED_OUT" -> "the time ran out while a target was at work.";
      case "TARGET_FAILED" -> "the target broke off or sent something else than its answer.";
      case "INTERNAL" -> "the host failed; see VH-1118.";
      default -> "the outcome is not known to this version.";
    };
  }
}
