package verbenahatch.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.admin.AdminTester.Reply;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Json;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

class AdminApiTest {

  private static final String PRODUCTION = "/v1/environments/production";
  private static final String TRIAL = "/v1/environments/trial";

  private AdminTester tester;

  @BeforeEach
  void open() throws Exception {
    tester = new AdminTester();
  }

  @AfterEach
  void close() throws Exception {
    tester.close();
  }

  /** Guards against calls without credentials, and against a document that reveals itself. */
  @ParameterizedTest
  @CsvSource({
    "GET,/state",
    "GET,/v1/status",
    "PUT,/v1/environments/production?seen=0",
    "DELETE,/v1/drains/zone/x",
    "GET,/v1/nothing"
  })
  void refusesUnknownCredentials(String method, String path) throws Exception {
    Reply reply = tester.call(method, path, "", "guess");
    assertEquals(401, reply.status());
    assertEquals("unauthorized", reply.body().path("code").asText());
  }

  /** Guards against a host that takes callers before it holds a configuration. */
  @Test
  void isReadyOnlyWithDocument() throws Exception {
    assertEquals(200, tester.call("GET", "/healthz", "", "").status());
    Reply before = tester.call("GET", "/readyz", "", "");
    assertEquals(503, before.status());
    assertFalse(before.body().path("unmet").path("fleet").asText().isEmpty());
    tester.putExample();
    assertEquals(200, tester.call("GET", "/readyz", "", "").status());
  }

  /** Guards against operators who overwrite each other's documents. */
  @Test
  void namesCurrentGenerationInConflict() throws Exception {
    String document = AdminTester.example();
    Reply first = tester.call("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(1, first.body().path("generation").asLong());
    Reply second = tester.call("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(409, second.status());
    assertEquals(1, second.body().path("current").asLong());
    assertEquals(400, tester.call("PUT", PRODUCTION, document).status());
    assertEquals(200, tester.call("PUT", PRODUCTION + "?seen=1", document).status());
    assertEquals(2, tester.get(PRODUCTION).body().path("generation").asLong());
  }

  /** Guards against a store restored to an older state that makes the next change ineffective. */
  @Test
  void writesAboveGenerationInForce() throws Exception {
    InMemoryObjectStore.Snapshot empty = tester.store.snapshot();
    tester.putExample();
    tester.store.restore(empty);
    Reply stale = tester.call("PUT", PRODUCTION + "?seen=0", AdminTester.example());
    assertEquals(409, stale.status());
    Reply written = tester.call("PUT", PRODUCTION + "?seen=1", AdminTester.example());
    assertEquals(2, written.body().path("generation").asLong());
  }

  /** Guards against input that is refused without naming every fault. */
  @Test
  void listsEveryFault() throws Exception {
    String faulty =
        AdminTester.example()
            .replaceFirst("\"slots\": 3", "\"slots\": 0")
            .replaceFirst("\"burst\": 240", "\"burst\": 0.5");
    JsonNode faults = tester.call("PUT", PRODUCTION + "?seen=0", faulty).body().path("faults");
    assertEquals(3, faults.size(), faults.toString());
    assertEquals("workspaces[0].burst", faults.get(2).path("path").asText());
    assertEquals("0.5", faults.get(2).path("value").asText());
    JsonNode checked = tester.call("POST", PRODUCTION + "/validate", faulty).body();
    assertEquals(faults, checked.path("faults"));
    Reply other = tester.call("PUT", TRIAL + "?seen=0", AdminTester.example());
    assertEquals("environment", other.body().path("faults").get(0).path("path").asText());
    assertEquals(404, tester.get(PRODUCTION).status());
  }

  /** Guards against promoting a document that the operator has not seen. */
  @Test
  void promotesSeenDocument() throws Exception {
    tester.putExample();
    String trial = AdminTester.example().replace("\"production\"", "\"trial\"");
    tester.call("PUT", TRIAL + "?seen=0", trial);
    String changed = trial.replaceFirst("\"burst\": 240", "\"burst\": 241");
    tester.call("PUT", TRIAL + "?seen=1", changed);
    JsonNode diff = tester.get(PRODUCTION + "/diff?with=trial").body().path("changes");
    assertEquals(1, diff.size(), diff.toString());
    assertTrue(diff.get(0).path("path").asText().endsWith("].burst"), diff.toString());
    assertEquals(241.0, diff.get(0).path("after").asDouble());
    String promote = PRODUCTION + "/promote?from=trial&seen=1&seenFrom=";
    assertEquals(409, tester.call("POST", promote + "1", "").status());
    assertEquals(200, tester.call("POST", promote + "2", "").status());
    JsonNode document = tester.get(PRODUCTION).body();
    assertEquals(2, document.path("generation").asLong());
    assertEquals("production", document.path("document").path("environment").asText());
  }

  /** Guards against a key that works before it is issued or after it is withdrawn. */
  @Test
  void issuesAndWithdrawsKeys() throws Exception {
    tester.putExample();
    assertEquals(400, tester.call("POST", PRODUCTION + "/keys?workspace=none", "").status());
    String workspace = workspace();
    Reply issued = tester.call("POST", PRODUCTION + "/keys?workspace=" + workspace, "");
    String key = issued.body().path("key").asText();
    String hash = issued.body().path("sha256").asText();
    Keys keys = tester.host.kernel().require(Keys.class);
    tester.await(() -> keys.check(key) instanceof KeyCheck.Valid);
    assertFalse(tester.get(PRODUCTION + "/keys").body().toString().contains(key));
    Reply withdrawn = tester.call("DELETE", PRODUCTION + "/keys/" + hash, "");
    assertEquals(200, withdrawn.status());
    assertTrue(withdrawn.body().path("accepted").asBoolean());
    assertTrue(withdrawn.body().path("durable").asBoolean());
    assertEquals(1, withdrawn.body().path("members").asInt());
    assertEquals(new KeyCheck.Withdrawn(), keys.check(key));
    JsonNode listed = tester.get(PRODUCTION + "/keys").body().path("keys").get(0);
    assertTrue(listed.path("withdrawnAtMillis").asLong() > 0);
    String unknown = PRODUCTION + "/keys/" + "0".repeat(64);
    assertEquals(404, tester.call("DELETE", unknown, "").status());
  }

  /** Guards against a withdrawal that has to wait for the store. */
  @Test
  void withdrawsWhileStoreIsDown() throws Exception {
    tester.putExample();
    Reply issued = tester.call("POST", PRODUCTION + "/keys?workspace=" + workspace(), "");
    String key = issued.body().path("key").asText();
    Keys keys = tester.host.kernel().require(Keys.class);
    tester.await(() -> keys.check(key) instanceof KeyCheck.Valid);
    tester.store.setFaults(StoreFaults.DOWN);
    String path = PRODUCTION + "/keys/" + issued.body().path("sha256").asText();
    Reply withdrawn = tester.call("DELETE", path, "");
    assertTrue(withdrawn.body().path("accepted").asBoolean(), withdrawn.toString());
    assertFalse(withdrawn.body().path("durable").asBoolean());
    assertEquals(new KeyCheck.Withdrawn(), keys.check(key));
    assertEquals(503, tester.call("POST", PRODUCTION + "/keys?workspace=x", "").status());
    assertEquals("host", tester.get(PRODUCTION).body().path("source").asText());
  }

  /** Guards against a withdrawal reported as final by a host without contact to the fleet. */
  @Test
  void reportsWithdrawalWithoutMajority() throws Exception {
    try (AdminTester cutOff = new AdminTester(StoreFaults.DOWN)) {
      String path = PRODUCTION + "/keys/" + "a".repeat(64);
      Reply reply = cutOff.call("DELETE", path, "");
      assertEquals(202, reply.status(), reply.toString());
      assertFalse(reply.body().path("accepted").asBoolean());
    }
  }

  /** Guards against a change reported as done or failed while its effect is unknown. */
  @Test
  void reportsUnsettledChange() throws Exception {
    tester.store.setFaults(new StoreFaults(false, 0, true, 1, 0, false));
    Reply reply = tester.call("PUT", PRODUCTION + "?seen=0", AdminTester.example());
    assertEquals(503, reply.status());
    assertEquals("unsettled", reply.body().path("code").asText());
  }

  /** Guards against drains of unknown names, lost drains and silent overwrites. */
  @Test
  void drainsAndUndrains() throws Exception {
    tester.putExample();
    assertEquals(400, tester.call("PUT", "/v1/drains/zone/nowhere", "").status());
    assertEquals(400, tester.call("PUT", "/v1/drains/planet/earth", "").status());
    assertEquals(200, tester.call("PUT", "/v1/drains/target/catalogue-1", "").status());
    assertEquals(200, tester.call("PUT", "/v1/drains/host/dakar-a?seen=1", "").status());
    assertEquals(409, tester.call("DELETE", "/v1/drains/host/dakar-a?seen=1", "").status());
    JsonNode drains = tester.get("/v1/drains").body();
    assertEquals("[\"catalogue-1\"]", drains.path("targets").toString());
    assertEquals("[\"dakar-a\"]", drains.path("hosts").toString());
    assertTrue(
        tester.call("DELETE", "/v1/drains/host/dakar-a", "").body().path("changed").asBoolean());
    assertFalse(
        tester.call("DELETE", "/v1/drains/host/dakar-a", "").body().path("changed").asBoolean());
    assertEquals(3, tester.get("/v1/drains").body().path("generation").asLong());
  }

  /** Guards against a release that cannot be started, seen or stopped. */
  @Test
  void startsAndTakesBackRelease() throws Exception {
    String document =
        AdminTester.example()
            .replaceFirst(
                "(?s)(\"id\": \"catalogue-2\".*?)\"version\": \"v1\"", "$1\"version\": \"v2\"")
            .replaceFirst("(?s)\"releases\": \\[.*?\\]", "\"releases\": []");
    Reply put = tester.call("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(200, put.status(), put.toString());
    tester.awaitReady();
    String release =
        "{\"id\":\"r1\",\"service\":\"catalogue\",\"fromVersion\":\"v1\",\"toVersion\":\"%s\","
            + "\"startAt\":\"2026-12-04T08:00:00Z\",\"deadline\":\"2026-12-04T18:00:00Z\"}";
    String releases = PRODUCTION + "/releases";
    Reply faulty = tester.call("POST", releases + "?seen=1", release.formatted("v9"));
    assertEquals("releases[0].toVersion", faulty.body().at("/faults/0/path").asText());
    assertEquals(409, tester.call("POST", releases + "?seen=0", release.formatted("v2")).status());
    assertEquals(200, tester.call("POST", releases + "?seen=1", release.formatted("v2")).status());
    byte[] record = Json.write(record("r1", 1, ReleaseRecord.State.RUNNING));
    long version = tester.store.put("release/catalogue", record, 0, "w1").get().version();
    final long start = System.nanoTime();
    Reply unchanged = tester.get(releases + "/r1?waitMillis=300&after=" + version);
    assertTrue(System.nanoTime() - start >= Duration.ofMillis(300).toNanos());
    assertEquals("RUNNING", unchanged.body().at("/record/state").asText());
    tester.store.put(
        "release/catalogue", Json.write(record("r1", 2, ReleaseRecord.State.DONE)), version, "w2");
    Reply watched = tester.get(releases + "/r1?waitMillis=9000&after=" + version);
    assertEquals("DONE", watched.body().at("/record/state").asText());
    byte[] other = Json.write(record("r0", 3, ReleaseRecord.State.RUNNING));
    tester.store.put("release/catalogue", other, watched.body().path("version").asLong(), "w3");
    assertFalse(tester.get(releases + "/r1").body().has("record"));
    assertTrue(System.nanoTime() - start < Duration.ofSeconds(9).toNanos());
    Reply back = tester.call("POST", releases + "/r1/take-back?reason=dents", "");
    assertTrue(back.body().path("accepted").asBoolean(), back.toString());
    tester.await(() -> tester.get(releases + "/r1").body().path("halted").asBoolean());
    String reason = tester.get(releases + "/r1").body().path("reason").asText();
    assertEquals("dents (operator amina)", reason);
    assertEquals(404, tester.call("POST", releases + "/r2/take-back", "").status());
  }

  /** Guards against a dump, status or metrics that miss the parts of the host. */
  @Test
  void showsState() throws Exception {
    tester.putExample();
    assertFalse(tester.get("/state").body().isEmpty());
    JsonNode status = tester.get("/v1/status").body();
    assertTrue(status.path("fresh").asBoolean());
    assertEquals(1, status.path("members").size());
    assertTrue(tester.get("/metrics").body().asText().contains("# TYPE"));
    assertEquals(405, tester.call("PATCH", "/v1/status", "").status());
  }

  private static ReleaseRecord record(String id, long generation, ReleaseRecord.State state) {
    return new ReleaseRecord(generation, id, state, 1, 0.05, 0, "");
  }

  private String workspace() throws Exception {
    return tester.get(PRODUCTION).body().at("/document/workspaces/0/name").asText();
  }
}
