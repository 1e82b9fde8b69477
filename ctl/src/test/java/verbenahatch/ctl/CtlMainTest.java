package verbenahatch.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;
import verbenahatch.admin.testing.SingleHost;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Json;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

/** Runs commands against the administration API of a host with an in-memory store. */
class CtlMainTest {

  private static final Path EXAMPLE = Path.of("..", "examples", "ndiaye", "production.json");
  private static final long TIMEOUT_NANOS = Duration.ofSeconds(20).toNanos();

  private record Run(int exitCode, String out, String err) {
    JsonNode json() throws Exception {
      return Json.readTree(out.getBytes(StandardCharsets.UTF_8));
    }
  }

  @TempDir private Path directory;
  private final Closer closer = new Closer();
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private String server = "";

  @BeforeEach
  void open() throws Exception {
    server = closer.register(new SingleHost(store)).url();
  }

  @AfterEach
  void close() throws Exception {
    closer.close();
  }

  private static Run run(Map<String, String> environment, List<String> args) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    CommandLine line = CtlMain.commandLine(environment);
    line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
    int exitCode = line.execute(args.toArray(String[]::new));
    return new Run(exitCode, out.toString(), err.toString());
  }

  private Run ctl(String... args) {
    List<String> allArgs = new ArrayList<>(List.of(args));
    allArgs.addAll(List.of("--server", server));
    return run(Map.of("VERBENAHATCH_TOKEN", SingleHost.TOKEN), allArgs);
  }

  private Run json(String... args) {
    List<String> allArgs = new ArrayList<>(List.of(args));
    allArgs.addAll(List.of("--output", "json"));
    return ctl(allArgs.toArray(String[]::new));
  }

  private void putExample() {
    assertEquals(
        0, ctl("environment", "put", "production", EXAMPLE.toString(), "--seen", "0").exitCode());
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (ctl("ready").exitCode() != 0 && System.nanoTime() - deadlineNanos < 0) {
      Thread.onSpinWait();
    }
  }

  private String write(String name, String text) throws Exception {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  /** Guards against a refusal, a usage error or an outage that scripts take for a success. */
  @Test
  void mapsExitCodes() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    final String unreachable = "http://127.0.0.1:" + closedPort;
    final Map<String, String> token = Map.of("VERBENAHATCH_TOKEN", SingleHost.TOKEN);
    assertEquals(0, ctl("status").exitCode());
    assertEquals(1, ctl("ready").exitCode());
    assertEquals(1, ctl("environment", "get", "production").exitCode());
    assertEquals(2, ctl("environment", "promote", "production").exitCode());
    assertEquals(2, ctl("environment", "put", "production", "missing", "--seen", "0").exitCode());
    assertEquals(2, run(Map.of(), List.of("status", "--server", server)).exitCode());
    assertEquals(3, run(token, List.of("status", "--server", unreachable)).exitCode());
    assertEquals(
        0, run(token, List.of("status", "--server", unreachable + "," + server)).exitCode());
    Map<String, String> unknownToken = Map.of("VERBENAHATCH_TOKEN", "guess");
    assertEquals(1, run(unknownToken, List.of("status", "--server", server)).exitCode());
    String file = write("token", SingleHost.TOKEN + "\n");
    List<String> withFile = List.of("status", "--server", server, "--token-file", file);
    assertEquals(0, run(Map.of(), withFile).exitCode());
  }

  /** Guards against a command without usable help text. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "status",
        "state",
        "metrics",
        "ready",
        "environment get",
        "environment put",
        "environment validate",
        "environment diff",
        "environment promote",
        "key issue",
        "key list",
        "key withdraw",
        "key status",
        "drain list",
        "drain start",
        "drain end",
        "release list",
        "release start",
        "release status",
        "release watch",
        "release take-back",
        "where"
      })
  void showsHelpOfEachCommand(String command) {
    List<String> args = new ArrayList<>(List.of(command.split(" ", -1)));
    args.add("--help");
    Run run = run(Map.of(), args);
    assertEquals(0, run.exitCode(), run.err());
    assertTrue(run.out().contains("Usage: verbenahatchctl " + command), run.out());
    assertTrue(run.out().contains("--token-file"), run.out());
    assertFalse(run.out().contains("null"), run.out());
  }

  /** Guards against a conflict or faults that the error message does not explain. */
  @Test
  void explainsRefusals() throws Exception {
    putExample();
    Run conflict = ctl("environment", "put", "production", EXAMPLE.toString(), "--seen", "0");
    assertEquals(1, conflict.exitCode());
    assertTrue(conflict.err().contains("generation 1 is current, you saw 0"), conflict.err());
    String text = Files.readString(EXAMPLE).replaceFirst("\"burst\": 240", "\"burst\": 0.5");
    String faulty = write("faulty.json", text);
    Run put = ctl("environment", "put", "production", faulty, "--seen", "1");
    assertTrue(put.err().contains("workspaces[0].burst: 0.5 (allowed: "), put.err());
    Run valid = ctl("environment", "validate", "production", EXAMPLE.toString());
    assertEquals(0, valid.exitCode());
    Run checked = ctl("environment", "validate", "production", faulty);
    assertEquals(1, checked.exitCode());
    assertTrue(checked.out().contains("workspaces[0].burst"), checked.out());
    Run json = json("environment", "put", "production", EXAMPLE.toString(), "--seen", "0");
    assertEquals(1, json.json().path("current").asLong());
  }

  /** Guards against a document that is altered when it is promoted from trial to production. */
  @Test
  void promotesDocument() throws Exception {
    putExample();
    Run read = json("environment", "get", "production", "--only-document");
    String trial = read.out().replace("\"production\"", "\"trial\"").replace("240.0", "241.0");
    String file = write("trial.json", trial);
    assertEquals(0, ctl("environment", "put", "trial", file, "--seen", "0").exitCode());
    Run diff = json("environment", "diff", "production", "--with", "trial");
    assertFalse(diff.json().path("changes").isEmpty());
    assertEquals(1, ctl("environment", "promote", "--seen", "0", "--seen-from", "1").exitCode());
    assertEquals(0, ctl("environment", "promote", "--seen", "1", "--seen-from", "1").exitCode());
    Run after = json("environment", "diff", "production", "--with", "trial");
    assertTrue(after.json().path("changes").isEmpty(), after.out());
    Run same = json("environment", "diff", "production", EXAMPLE.toString());
    assertEquals(diff.json().path("changes").size(), same.json().path("changes").size());
  }

  /** Guards against a withdrawal that looks complete to the operator before it is accepted. */
  @Test
  void issuesAndWithdrawsKeys() throws Exception {
    putExample();
    String workspace =
        json("environment", "get", "production").json().at("/document/workspaces/0/name").asText();
    JsonNode issued = json("key", "issue", "production", workspace).json();
    String hash = issued.path("sha256").asText();
    assertTrue(ctl("key", "list", "production").out().contains(hash));
    String keyFile = write("key", issued.path("key").asText() + "\n");
    Run withdrawn = json("key", "withdraw", "production", "--key-file", keyFile);
    assertEquals(0, withdrawn.exitCode(), withdrawn.err());
    assertTrue(withdrawn.json().path("accepted").asBoolean());
    Run status = ctl("key", "status", "production", issued.path("key").asText());
    assertTrue(status.out().contains("accepted: true"), status.out());
    assertEquals(1, ctl("key", "issue", "production", "nobody").exitCode());
    assertEquals(2, ctl("key", "withdraw", "production").exitCode());
  }

  /** Guards against drains that cannot be started, listed and ended from the command line. */
  @Test
  void drainsAndUndrains() {
    putExample();
    assertEquals(0, ctl("drain", "start", "target", "catalogue-1").exitCode());
    assertTrue(ctl("drain", "list").out().contains("targets: catalogue-1"));
    assertEquals(1, ctl("drain", "start", "zone", "nowhere").exitCode());
    assertEquals(2, ctl("drain", "start", "planet", "earth").exitCode());
    assertEquals(1, ctl("drain", "end", "target", "catalogue-1", "--seen", "9").exitCode());
    assertEquals(0, ctl("drain", "end", "target", "catalogue-1").exitCode());
    assertTrue(ctl("drain", "list").out().contains("targets: -"));
  }

  /** Guards against a watch that misses the end of a release or never returns. */
  @Test
  void startsWatchesAndRollsBackRelease() throws Exception {
    String text =
        Files.readString(EXAMPLE)
            .replaceFirst(
                "(?s)(\"id\": \"catalogue-2\".*?)\"version\": \"v1\"", "$1\"version\": \"v2\"")
            .replaceFirst("(?s)\"releases\": \\[.*?\\]", "\"releases\": []");
    String document = write("document.json", text);
    assertEquals(0, ctl("environment", "put", "production", document, "--seen", "0").exitCode());
    String release =
        write(
            "release.json",
            "{\"id\":\"r1\",\"service\":\"catalogue\",\"fromVersion\":\"v1\",\"toVersion\":\"v2\","
                + "\"startAt\":\"2026-12-04T08:00:00Z\",\"deadline\":\"2026-12-04T18:00:00Z\"}");
    assertEquals(0, ctl("release", "start", "production", release, "--seen", "1").exitCode());
    assertTrue(ctl("release", "list", "production").out().contains("r1"));
    assertEquals(1, ctl("release", "watch", "production", "r1", "--for", "1").exitCode());
    ReleaseRecord done = new ReleaseRecord(1, "r1", ReleaseRecord.State.DONE, 4, 1, 0, "");
    store.put("release/catalogue", Json.write(done), 0, "w1");
    assertEquals(0, ctl("release", "watch", "production", "r1").exitCode());
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (!json("status").json().path("fresh").asBoolean()
        && System.nanoTime() - deadlineNanos < 0) {
      Thread.onSpinWait();
    }
    assertEquals(
        0, ctl("release", "take-back", "production", "r1", "--reason", "dents").exitCode());
    assertEquals(
        1, ctl("release", "take-back", "production", "r2", "--reason", "dents").exitCode());
  }

  /** Guards against an outage of the store that is reported as an unreachable host. */
  @Test
  void reportsOutageOfStore() {
    store.setFaults(StoreFaults.DOWN);
    Run run = ctl("environment", "put", "production", EXAMPLE.toString(), "--seen", "0");
    assertEquals(1, run.exitCode());
    assertTrue(run.err().contains("unavailable"), run.err());
    assertTrue(run.err().contains("nothing was changed"), run.err());
  }

  /** Guards against an explanation that succeeds for an unreadable log or an unknown request id. */
  @Test
  void explainReadsLogsAndReportsMissingLines() throws Exception {
    Path log = directory.resolve("h1.log");
    String line =
        "2026-04-18T06:25:41.803Z INFO VH-1114 request id=q1 route=r workspace=w outcome=BAD_KEY"
            + " status=401 attempts=0 target=- elapsed_ms=0 remaining_ms=9 reason=no key";
    Files.writeString(log, line + System.lineSeparator());
    Run found = run(Map.of(), List.of("explain", "q1", "--log", log.toString()));
    assertEquals(0, found.exitCode(), found.err());
    assertTrue(found.out().contains("host h1: no workspace of the document"), found.out());
    assertEquals(1, run(Map.of(), List.of("explain", "q2", "--log", log.toString())).exitCode());
    Run absent = run(Map.of(), List.of("explain", "q1", "--log", "no-such-file"));
    assertEquals(2, absent.exitCode());
    assertTrue(absent.err().contains("cannot read no-such-file"), absent.err());
  }
}
