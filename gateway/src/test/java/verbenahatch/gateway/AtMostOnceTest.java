package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Json;

/**
 * Guards against a submission that runs more than once when hosts, targets or the store fail. The
 * runs that the target counts are compared with the results that callers get.
 */
class AtMostOnceTest {

  private static final int HOSTS = 3;

  private final Closer closer = new Closer();
  private final FakePeers network = new FakePeers();
  private final FakeStore store = new FakeStore();
  private final List<GatewayFixture> hosts = new ArrayList<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private volatile boolean targetLosesResponses;

  @BeforeEach
  void start() throws Exception {
    ScriptedTarget target =
        new ScriptedTarget(
            (requestHead, socket) -> {
              String id = ScriptedTarget.header(requestHead, "verbenahatch-submission");
              runs.merge(id, 1, Integer::sum);
              return !targetLosesResponses
                  && ScriptedTarget.write(socket, ScriptedTarget.okResponse(requestHead, "ran"));
            });
    for (int i = 0; i < HOSTS; i++) {
      GatewayFixture host = new GatewayFixture("entry-" + i, network, store);
      closer.register(host);
      host.target(target, "dakar");
      hosts.add(host);
    }
    for (GatewayFixture host : hosts) {
      host.fleet.members = hosts.stream().map(other -> other.fleet.self()).toList();
    }
  }

  @AfterEach
  void stop() throws Exception {
    closer.close();
  }

  private String ticket(int host) throws Exception {
    HttpResponse<String> response =
        hosts.get(host).send(hosts.get(host).keyed("/v1/tickets").POST(BodyPublishers.noBody()));
    assertEquals(201, response.statusCode());
    return Json.readTree(response.body().getBytes(StandardCharsets.UTF_8)).path("ticket").asText();
  }

  private HttpRequest submissionRequest(int host, String header, String value) {
    return hosts
        .get(host)
        .keyed("/orders")
        .header(header, value)
        .POST(BodyPublishers.ofString("order"))
        .build();
  }

  private String submit(int host, String header, String value) throws Exception {
    return code(
        hosts.get(host).http.send(submissionRequest(host, header, value), BodyHandlers.ofString()));
  }

  private static String code(HttpResponse<String> response) {
    return response.statusCode() == 200 ? "ok" : GatewayFixture.reason(response);
  }

  private int submitToAllHostsConcurrently(String header, String value) throws Exception {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int i = 0; i < 4 * HOSTS; i++) {
      int host = i % HOSTS;
      responses.add(
          hosts
              .get(host)
              .http
              .sendAsync(submissionRequest(host, header, value), BodyHandlers.ofString()));
    }
    int okCount = 0;
    for (CompletableFuture<HttpResponse<String>> pendingResponse : responses) {
      String code = code(pendingResponse.get(10, TimeUnit.SECONDS));
      assertTrue(List.of("ok", "already-run", "submission-unknown").contains(code), code);
      okCount += code.equals("ok") ? 1 : 0;
    }
    return okCount;
  }

  @Test
  void ticketRunsOnceThroughAllHostsAtOnce() throws Exception {
    for (int i = 0; i < 10; i++) {
      assertEquals(1, submitToAllHostsConcurrently(HeaderNames.TICKET, ticket(i % HOSTS)));
    }
    assertEquals(10, runs.size());
    assertTrue(runs.values().stream().allMatch(count -> count == 1), runs.toString());
  }

  @Test
  void keyRunsOnceWhenSubmittedToAllHostsAndStoreResponsesAreLost() throws Exception {
    store.loseResponseEvery = 3;
    for (int i = 0; i < 20; i++) {
      assertEquals(1, submitToAllHostsConcurrently(HeaderNames.IDEMPOTENCY_KEY, "order-" + i));
    }
    assertEquals(20, runs.size());
    assertTrue(runs.values().stream().allMatch(count -> count == 1), runs.toString());
  }

  @Test
  void repeatAfterTheRunLearnsThatItRan() throws Exception {
    String ticket = ticket(0);
    assertEquals("ok", submit(1, HeaderNames.TICKET, ticket));
    GatewayFixture.awaitCondition(() -> hosts.get(1).limits.inRegions.get() == 0);
    HttpResponse<String> repeat =
        hosts
            .get(2)
            .http
            .send(submissionRequest(2, HeaderNames.TICKET, ticket), BodyHandlers.ofString());
    assertEquals("already-run", GatewayFixture.reason(repeat));
    assertEquals("200", repeat.headers().firstValue(HeaderNames.RUN_STATUS).orElse(""));
  }

  @Test
  void lostAnswerOfTheTargetLeavesTheSubmissionUnknown() throws Exception {
    targetLosesResponses = true;
    String ticket = ticket(0);
    assertEquals("target-failed", submit(1, HeaderNames.TICKET, ticket));
    assertEquals("submission-unknown", submit(2, HeaderNames.TICKET, ticket));
    assertEquals("target-failed", submit(0, HeaderNames.IDEMPOTENCY_KEY, "k"));
    assertEquals("submission-unknown", submit(2, HeaderNames.IDEMPOTENCY_KEY, "k"));
    assertEquals(List.of(1, 1), List.copyOf(runs.values()));
  }

  @Test
  void ticketOfKilledIssuerIsRefusedAsUnknown() throws Exception {
    String ticket = ticket(0);
    network.killed.add(hosts.get(0).fleet.self().peer());
    assertEquals("submission-unknown", submit(1, HeaderNames.TICKET, ticket));
    hosts.get(1).fleet.members = List.of(hosts.get(1).fleet.self());
    assertEquals("submission-unknown", submit(1, HeaderNames.TICKET, ticket));
    assertEquals(0, runs.size());
  }

  @Test
  void claimIsRetriedAfterLostIssuerResponse() throws Exception {
    String ticket = ticket(0);
    network.responsesToLose.set(2);
    assertEquals("ok", submit(1, HeaderNames.TICKET, ticket));
    assertEquals(1, runs.size());
  }

  @Test
  void ticketOfAnotherWorkspaceOrForgedIsInvalid() throws Exception {
    String ticket = ticket(0);
    String forged = (ticket.charAt(0) == 'A' ? 'B' : 'A') + ticket.substring(1);
    assertEquals("ticket-invalid", submit(1, HeaderNames.TICKET, forged));
    hosts
        .get(1)
        .keys
        .keys
        .put(Fakes.KEY, new verbenahatch.fleet.KeyCheck.Valid("other", Fakes.KEY));
    assertEquals("ticket-invalid", submit(1, HeaderNames.TICKET, ticket));
    assertEquals(0, runs.size());
  }

  @Test
  void storeOutageRefusesClaimsByKeyButNotTickets() throws Exception {
    String ticket = ticket(0);
    store.down = true;
    assertEquals("claim-unavailable", submit(1, HeaderNames.IDEMPOTENCY_KEY, "k"));
    assertEquals("ok", submit(1, HeaderNames.TICKET, ticket));
    store.down = false;
    assertEquals("ok", submit(1, HeaderNames.IDEMPOTENCY_KEY, "k"));
  }

  @Test
  void staleStoreReadDoesNotGrantClaimTwice() throws Exception {
    assertEquals("ok", submit(0, HeaderNames.IDEMPOTENCY_KEY, "k"));
    store.staleReads = true;
    assertEquals("claim-unavailable", submit(1, HeaderNames.IDEMPOTENCY_KEY, "k"));
    assertEquals(1, runs.size());
  }

  @Test
  void requestThatDidNotRunReleasesItsClaim() throws Exception {
    String ticket = ticket(0);
    // Simulates a host that was paused between the claim and the first byte.
    hosts.get(1).fleet.staleBeforeFirstByte = true;
    assertEquals("host-not-fresh", submit(1, HeaderNames.TICKET, ticket));
    assertEquals(0, runs.size());
    assertEquals("ok", submit(2, HeaderNames.TICKET, ticket));
  }
}
