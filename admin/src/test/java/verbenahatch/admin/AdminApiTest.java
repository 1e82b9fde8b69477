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
import verbenahatch.admin.AdminApiFixture.ApiResponse;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Json;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

/** Tests the administration API over HTTP against one host with an in-memory store. */
class AdminApiTest {

  private static final String PRODUCTION = "/v1/environments/production";
  private static final String TRIAL = "/v1/environments/trial";

  private AdminApiFixture fixture;

  @BeforeEach
  void open() throws Exception {
    fixture = new AdminApiFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** Guards against requests that are served, or whose paths are revealed, without credentials. */
  @ParameterizedTest
  @CsvSource({
    "GET,/state",
    "GET,/v1/status",
    "PUT,/v1/environments/production?seen=0",
    "DELETE,/v1/drains/zone/x",
    "GET,/v1/nothing"
  })
  void refusesUnknownCredentials(String method, String path) throws Exception {
    ApiResponse response = fixture.send(method, path, "", "guess");
    assertEquals(401, response.status());
    assertEquals("unauthorized", response.body().path("code").asText());
  }

  /** Guards against a host that reports readiness before it has an environment document. */
  @Test
  void reportsReadinessOnlyWithDocument() throws Exception {
    assertEquals(200, fixture.send("GET", "/healthz", "", "").status());
    ApiResponse before = fixture.send("GET", "/readyz", "", "");
    assertEquals(503, before.status());
    assertFalse(before.body().path("unmet").path("fleet").asText().isEmpty());
    fixture.putExample();
    assertEquals(200, fixture.send("GET", "/readyz", "", "").status());
  }

  /** Guards against operators who overwrite each other's documents. */
  @Test
  void namesCurrentGenerationInConflict() throws Exception {
    String document = AdminApiFixture.example();
    ApiResponse first = fixture.send("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(1, first.body().path("generation").asLong());
    ApiResponse second = fixture.send("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(409, second.status());
    assertEquals(1, second.body().path("current").asLong());
    assertEquals(400, fixture.send("PUT", PRODUCTION, document).status());
    assertEquals(200, fixture.send("PUT", PRODUCTION + "?seen=1", document).status());
    assertEquals(2, fixture.get(PRODUCTION).body().path("generation").asLong());
  }

  /**
   * Guards against a change without effect after the store was restored to an older state: hosts
   * ignore a document whose generation is not above the one in force.
   */
  @Test
  void writesAboveGenerationInForce() throws Exception {
    InMemoryObjectStore.Snapshot empty = fixture.store.snapshot();
    fixture.putExample();
    fixture.store.restore(empty);
    ApiResponse stale = fixture.send("PUT", PRODUCTION + "?seen=0", AdminApiFixture.example());
    assertEquals(409, stale.status());
    ApiResponse written = fixture.send("PUT", PRODUCTION + "?seen=1", AdminApiFixture.example());
    assertEquals(2, written.body().path("generation").asLong());
  }

  /** Guards against input that is refused without naming every fault. */
  @Test
  void listsEveryFault() throws Exception {
    String faulty =
        AdminApiFixture.example()
            .replaceFirst("\"slots\": 3", "\"slots\": 0")
            .replaceFirst("\"burst\": 240", "\"burst\": 0.5");
    JsonNode faults = fixture.send("PUT", PRODUCTION + "?seen=0", faulty).body().path("faults");
    assertEquals(3, faults.size(), faults.toString());
    assertEquals("workspaces[0].burst", faults.get(2).path("path").asText());
    assertEquals("0.5", faults.get(2).path("value").asText());
    JsonNode checked = fixture.send("POST", PRODUCTION + "/validate", faulty).body();
    assertEquals(faults, checked.path("faults"));
    ApiResponse other = fixture.send("PUT", TRIAL + "?seen=0", AdminApiFixture.example());
    assertEquals("environment", other.body().path("faults").get(0).path("path").asText());
    assertEquals(404, fixture.get(PRODUCTION).status());
  }

  /** Guards against promoting a document that the operator has not seen. */
  @Test
  void promotesOnlyExpectedGeneration() throws Exception {
    fixture.putExample();
    String trial = AdminApiFixture.example().replace("\"production\"", "\"trial\"");
    fixture.send("PUT", TRIAL + "?seen=0", trial);
    String changed = trial.replaceFirst("\"burst\": 240", "\"burst\": 241");
    fixture.send("PUT", TRIAL + "?seen=1", changed);
    JsonNode diff = fixture.get(PRODUCTION + "/diff?with=trial").body().path("changes");
    assertEquals(1, diff.size(), diff.toString());
    assertTrue(diff.get(0).path("path").asText().endsWith("].burst"), diff.toString());
    assertEquals(241.0, diff.get(0).path("after").asDouble());
    String promote = PRODUCTION + "/promote?from=trial&seen=1&seenFrom=";
    assertEquals(409, fixture.send("POST", promote + "1", "").status());
    assertEquals(200, fixture.send("POST", promote + "2", "").status());
    JsonNode document = fixture.get(PRODUCTION).body();
    assertEquals(2, document.path("generation").asLong());
    assertEquals("production", document.path("document").path("environment").asText());
  }

  /** Guards against a key that works before it is issued or after it is withdrawn. */
  @Test
  void issuesAndWithdrawsKeys() throws Exception {
    fixture.putExample();
    assertEquals(400, fixture.send("POST", PRODUCTION + "/keys?workspace=none", "").status());
    String workspace = workspace();
    ApiResponse issued = fixture.send("POST", PRODUCTION + "/keys?workspace=" + workspace, "");
    String key = issued.body().path("key").asText();
    String hash = issued.body().path("sha256").asText();
    Keys keys = fixture.host.kernel().require(Keys.class);
    fixture.await(() -> keys.check(key) instanceof KeyCheck.Valid);
    assertFalse(fixture.get(PRODUCTION + "/keys").body().toString().contains(key));
    ApiResponse withdrawn = fixture.send("DELETE", PRODUCTION + "/keys/" + hash, "");
    assertEquals(200, withdrawn.status());
    assertTrue(withdrawn.body().path("accepted").asBoolean());
    assertTrue(withdrawn.body().path("durable").asBoolean());
    assertEquals(1, withdrawn.body().path("members").asInt());
    assertEquals(new KeyCheck.Withdrawn(), keys.check(key));
    JsonNode listed = fixture.get(PRODUCTION + "/keys").body().path("keys").get(0);
    assertTrue(listed.path("withdrawnAtMillis").asLong() > 0);
    String unknown = PRODUCTION + "/keys/" + "0".repeat(64);
    assertEquals(404, fixture.send("DELETE", unknown, "").status());
  }

  /** Guards against a withdrawal that fails while the store is unavailable. */
  @Test
  void withdrawsWhileStoreIsUnavailable() throws Exception {
    fixture.putExample();
    ApiResponse issued = fixture.send("POST", PRODUCTION + "/keys?workspace=" + workspace(), "");
    String key = issued.body().path("key").asText();
    Keys keys = fixture.host.kernel().require(Keys.class);
    fixture.await(() -> keys.check(key) instanceof KeyCheck.Valid);
    fixture.store.setFaults(StoreFaults.DOWN);
    String path = PRODUCTION + "/keys/" + issued.body().path("sha256").asText();
    ApiResponse withdrawn = fixture.send("DELETE", path, "");
    assertTrue(withdrawn.body().path("accepted").asBoolean(), withdrawn.toString());
    assertFalse(withdrawn.body().path("durable").asBoolean());
    assertEquals(new KeyCheck.Withdrawn(), keys.check(key));
    assertEquals(503, fixture.send("POST", PRODUCTION + "/keys?workspace=x", "").status());
    assertEquals("host", fixture.get(PRODUCTION).body().path("source").asText());
  }

  /** Guards against a withdrawal reported as accepted by a host without contact to the fleet. */
  @Test
  void reportsWithdrawalWithoutMajority() throws Exception {
    try (AdminApiFixture isolated = new AdminApiFixture(StoreFaults.DOWN)) {
      String path = PRODUCTION + "/keys/" + "a".repeat(64);
      ApiResponse response = isolated.send("DELETE", path, "");
      assertEquals(202, response.status(), response.toString());
      assertFalse(response.body().path("accepted").asBoolean());
    }
  }

  /** Guards against a change reported as done or failed although its effect is unknown. */
  @Test
  void reportsUnsettledChange() throws Exception {
    fixture.store.setFaults(new StoreFaults(false, 0, true, 1, 0, false));
    ApiResponse response = fixture.send("PUT", PRODUCTION + "?seen=0", AdminApiFixture.example());
    assertEquals(503, response.status());
    assertEquals("unsettled", response.body().path("code").asText());
  }

  /** Guards against drains of unknown names, lost drains and unnoticed overwrites. */
  @Test
  void drainsAndUndrains() throws Exception {
    fixture.putExample();
    assertEquals(400, fixture.send("PUT", "/v1/drains/zone/nowhere", "").status());
    assertEquals(400, fixture.send("PUT", "/v1/drains/planet/earth", "").status());
    assertEquals(200, fixture.send("PUT", "/v1/drains/target/catalogue-1", "").status());
    assertEquals(200, fixture.send("PUT", "/v1/drains/host/dakar-a?seen=1", "").status());
    assertEquals(409, fixture.send("DELETE", "/v1/drains/host/dakar-a?seen=1", "").status());
    JsonNode drains = fixture.get("/v1/drains").body();
    assertEquals("[\"catalogue-1\"]", drains.path("targets").toString());
    assertEquals("[\"dakar-a\"]", drains.path("hosts").toString());
    assertTrue(
        fixture.send("DELETE", "/v1/drains/host/dakar-a", "").body().path("changed").asBoolean());
    assertFalse(
        fixture.send("DELETE", "/v1/drains/host/dakar-a", "").body().path("changed").asBoolean());
    assertEquals(3, fixture.get("/v1/drains").body().path("generation").asLong());
  }

  /** Guards against a release that cannot be started, watched or rolled back. */
  @Test
  void startsAndRollsBackRelease() throws Exception {
    String document =
        AdminApiFixture.example()
            .replaceFirst(
                "(?s)(\"id\": \"catalogue-2\".*?)\"version\": \"v1\"", "$1\"version\": \"v2\"")
            .replaceFirst("(?s)\"releases\": \\[.*?\\]", "\"releases\": []");
    ApiResponse put = fixture.send("PUT", PRODUCTION + "?seen=0", document);
    assertEquals(200, put.status(), put.toString());
    fixture.awaitReady();
    String release =
        "{\"id\":\"r1\",\"service\":\"catalogue\",\"fromVersion\":\"v1\",\"toVersion\":\"%s\","
            + "\"startAt\":\"2026-12-04T08:00:00Z\",\"deadline\":\"2026-12-04T18:00:00Z\"}";
    String releases = PRODUCTION + "/releases";
    ApiResponse faulty = fixture.send("POST", releases + "?seen=1", release.formatted("v9"));
    assertEquals("releases[0].toVersion", faulty.body().at("/faults/0/path").asText());
    assertEquals(409, fixture.send("POST", releases + "?seen=0", release.formatted("v2")).status());
    assertEquals(200, fixture.send("POST", releases + "?seen=1", release.formatted("v2")).status());
    byte[] record = Json.write(record("r1", 1, ReleaseRecord.State.RUNNING));
    long version = fixture.store.put("release/catalogue", record, 0, "w1").get().version();
    final long start = System.nanoTime();
    ApiResponse unchanged = fixture.get(releases + "/r1?waitMillis=300&after=" + version);
    assertTrue(System.nanoTime() - start >= Duration.ofMillis(300).toNanos());
    assertEquals("RUNNING", unchanged.body().at("/record/state").asText());
    fixture.store.put(
        "release/catalogue", Json.write(record("r1", 2, ReleaseRecord.State.DONE)), version, "w2");
    ApiResponse watched = fixture.get(releases + "/r1?waitMillis=9000&after=" + version);
    assertEquals("DONE", watched.body().at("/record/state").asText());
    byte[] other = Json.write(record("r0", 3, ReleaseRecord.State.RUNNING));
    fixture.store.put("release/catalogue", other, watched.body().path("version").asLong(), "w3");
    assertFalse(fixture.get(releases + "/r1").body().has("record"));
    assertTrue(System.nanoTime() - start < Duration.ofSeconds(9).toNanos());
    ApiResponse rolledBack = fixture.send("POST", releases + "/r1/take-back?reason=dents", "");
    assertTrue(rolledBack.body().path("accepted").asBoolean(), rolledBack.toString());
    fixture.await(() -> fixture.get(releases + "/r1").body().path("halted").asBoolean());
    String reason = fixture.get(releases + "/r1").body().path("reason").asText();
    assertEquals("dents (operator amina)", reason);
    assertEquals(404, fixture.send("POST", releases + "/r2/take-back", "").status());
  }

  /** Guards against a state dump, status or metrics that lack parts of the host. */
  @Test
  void showsState() throws Exception {
    fixture.putExample();
    assertFalse(fixture.get("/state").body().isEmpty());
    JsonNode status = fixture.get("/v1/status").body();
    assertTrue(status.path("fresh").asBoolean());
    assertEquals(1, status.path("members").size());
    assertTrue(fixture.get("/metrics").body().asText().contains("# TYPE"));
    assertEquals(405, fixture.send("PATCH", "/v1/status", "").status());
  }

  private static ReleaseRecord record(String id, long generation, ReleaseRecord.State state) {
    return new ReleaseRecord(generation, id, state, 1, 0.05, 0, "");
  }

  private String workspace() throws Exception {
    return fixture.get(PRODUCTION).body().at("/document/workspaces/0/name").asText();
  }
}
