package verbenahatch.ctl.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against explanations that name a wrong cause or do not mention missing lines. */
class ExplanationTest {

  private static final List<String> LOG =
      List.of(
          "2026-04-18T06:25:30.000Z INFO VH-1101 start host=h1 incarnation=i zone=z region=r",
          "2026-04-18T06:25:31.000Z INFO VH-1107 document version=10 from=store routes=3",
          "not a line of the catalogue",
          "2026-04-18T06:25:38.000Z WARN VH-1106 feed-lost kind=targets reason=no answer in 900 ms",
          "2026-04-18T06:25:39.000Z INFO VH-1109 target id=t1 service=s change=draining",
          "2026-04-18T06:25:39.500Z INFO VH-1112 peer host=h2 heard=false age_ms=1700",
          "2026-04-18T06:25:41.000Z INFO VH-1114 request id=q1 route=r1 workspace=w"
              + " outcome=NO_CAPACITY status=503 attempts=1 target=t1 elapsed_ms=12 document=10"
              + " reason=wait of 900 ms is too long. no=thing",
          "2026-04-18T06:25:42.000Z INFO VH-1115 requests-not-logged count=7");

  private static Explanation explanation(String id, List<String> lines) {
    Explanation explanation = new Explanation(id);
    explanation.read("h1", lines);
    return explanation;
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "no target could respond in time.",
        "status 503, wait of 900 ms is too long.",
        "document 10 from store (since 10.0 s)",
        "lost the store's feed of targets (since 3.0 s): no answer in 900 ms",
        "host h2 had timed out (since 1.5 s)",
        "target t1 was draining (since 2.0 s)",
        "Host h1 left out 7 lines"
      })
  void describesHostViewAtTimeOfRequest(String expected) {
    String text = String.join("\n", explanation("q1", LOG).describe());
    assertTrue(text.contains(expected), text);
  }

  @Test
  void omitsConditionsThatHaveEnded() {
    List<String> lines =
        List.of(
            LOG.get(0),
            LOG.get(1),
            LOG.get(3),
            "2026-04-18T06:25:40.000Z INFO VH-1105 feed-regained kind=targets lost_ms=2000",
            LOG.get(6));
    String text = String.join("\n", explanation("q1", lines).describe());
    assertFalse(text.contains("feed of"), text);
  }

  @ParameterizedTest
  @CsvSource({"q2, No line is about request q2", "'', No line is about request"})
  void reportsMissingLine(String id, String expected) {
    Explanation explanation = explanation(id, LOG);
    assertFalse(explanation.isFound());
    assertTrue(explanation.describe().get(0).startsWith(expected));
  }

  @Test
  void reportsFilesWithoutNumberedLines() {
    assertEquals(
        List.of("The files hold no numbered line of a host."),
        explanation("q1", List.of("", "text")).describe());
  }

  @ParameterizedTest
  @CsvSource({"count=7, 7", "count=x, 1", "count=, 1", "'', 1", "count=99999999999999999999, 1"})
  void countsDamagedLineAsOneLineLeftOut(String field, long count) {
    List<String> lines =
        List.of("2026-04-18T06:25:42.000Z INFO VH-1115 requests-not-logged " + field);
    String text = String.join("\n", explanation("q1", lines).describe());
    assertTrue(text.contains("Host h1 left out " + count + " lines"), text);
  }

  /** Two hosts received the request; a log collector prefixed the lines with their names. */
  @Test
  void ordersLinesOfSeveralHostsByTime() {
    String commonFields =
        " workspace=w outcome=STOPPING status=503 attempts=0 target=- elapsed_ms=0";
    Explanation explanation =
        explanation(
            "q1",
            List.of(
                "  7.2 h2 2026-04-18T06:25:41.900Z INFO VH-1114 request id=q1 route=r1"
                    + commonFields,
                "  7.1 h1 2026-04-18T06:25:41.800Z INFO VH-1114 request id=q1 route=r1"
                    + commonFields));
    List<String> requestLines =
        explanation.describe().stream().filter(line -> line.startsWith("2026")).toList();
    assertTrue(
        requestLines.get(0).contains("host h1: the host was stopping."), requestLines.toString());
    assertTrue(requestLines.get(1).contains("host h2:"), requestLines.toString());
  }

  /** Guards against a refusal in the catalogue of refusals that has no explanation. */
  @Test
  void explainsEveryRefusalOfCatalogue() throws Exception {
    int explained = 0;
    for (String line : Files.readAllLines(Path.of("..", "docs", "refusals-platform.md"))) {
      if (line.matches("\\| [A-Z_]+ \\| \\d+ \\|.*")) {
        String name = line.substring(2, line.indexOf(' ', 2));
        assertFalse(Explanation.describeOutcome(name).contains("not known"), name);
        explained++;
      }
    }
    assertTrue(explained > 10, explained + " refusals");
  }
}
