package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpClient;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response with a status that no response may have and that reaches a caller. */
class InvalidStatusTest {

  /** More than the attempts of a test, so that no target is avoided because of its failures. */
  private static final int TARGETS = 24;

  private final Set<String> attempted = ConcurrentHashMap.newKeySet();
  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  /** Starts targets that respond so to the first attempt of each path but those of /public. */
  private void startTargets(String first) throws Exception {
    for (int i = 0; i < TARGETS; i++) {
      gateway.target(
          new ScriptedTarget(
              (requestHead, socket) -> {
                String path = requestHead.split(" ", 3)[1];
                boolean valid = path.startsWith("/public") || !attempted.add(path);
                String id = ScriptedTarget.header(requestHead, "verbenahatch-request-id");
                return ScriptedTarget.write(
                    socket,
                    valid
                        ? ScriptedTarget.okResponse(requestHead, "whole")
                        : first.replace("$ID", id));
              }),
          "dakar");
    }
  }

  /** Returns the status that each kind of caller gets. */
  private Map<String, Integer> call(String method, String path) throws Exception {
    Map<String, Integer> statuses = new TreeMap<>();
    for (String caller : new String[] {"HTTP/1.0", "HTTP/1.1 close", "HTTP/1.1"}) {
      try (RawCaller raw = new RawCaller(gateway.server.port())) {
        String[] parts = caller.split(" ");
        raw.send(method + " " + path + statuses.size() + " " + parts[0] + "\r\nHost: a\r\n");
        raw.send(parts.length > 1 ? "Connection: close\r\n" : "");
        raw.send(method.equals("POST") ? "Content-Length: 0\r\n" : "");
        String head =
            raw.send("Authorization: Bearer " + Fakes.KEY + "\r\n\r\n").readUntil("\r\n\r\n");
        statuses.put(caller, Integer.parseInt(head.split(" ", 3)[1]));
      }
    }
    HttpClient http2 = HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
    // The first request of the client is one of HTTP/1.1 that asks for HTTP/2.
    http2.send(gateway.request("/public").build(), HttpResponse.BodyHandlers.discarding());
    HttpResponse<Void> response =
        http2.send(
            gateway.keyed(path + 3).method(method, BodyPublishers.noBody()).build(),
            HttpResponse.BodyHandlers.discarding());
    statuses.put(response.version().toString(), response.statusCode());
    return statuses;
  }

  private static Map<String, Integer> all(int status) {
    return Map.of(
        "HTTP/1.0", status, "HTTP/1.1 close", status, "HTTP/1.1", status, "HTTP_2", status);
  }

  private void assertFailedAttempts() throws Exception {
    assertEquals(all(502), call("POST", "/orders/"), "at most once");
    assertEquals(all(200), call("GET", "/proofs/"), "retried");
    GatewayFixture.awaitCondition(() -> gateway.server.inFlight() == 0);
    assertEquals(8, gateway.releases.failures.get());
  }

  /** 600 and 999, and 101 and 199 with a length, were passed on as responses. */
  @ParameterizedTest
  @ValueSource(
      strings = {"000", "099", "600", "999", "20", "2000", "0200", "2x0", "abc", "200x", "101"})
  void responseWithInvalidStatusIsFailedAttempt(String status) throws Exception {
    startTargets(
        "HTTP/1.1 "
            + status
            + " X\r\nVerbenahatch-Request-Id: $ID\r\nContent-Length: 5\r\n\r\nwrong");
    assertFailedAttempts();
  }

  /** An interim response that no server may send is not skipped: the attempt has failed. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "099", "0100", "10", "1xx", "199", "101"})
  void invalidInterimResponseIsFailedAttempt(String status) throws Exception {
    startTargets(
        "HTTP/1.1 "
            + status
            + " X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 X\r\nVerbenahatch-Request-Id: $ID\r\n"
            + "Content-Length: 5\r\n\r\nwrong");
    assertFailedAttempts();
  }

  /** A caller got no response when its target sent a valid interim one first. */
  @ParameterizedTest
  @CsvSource({"100, 1", "102, 2", "103, 2"})
  void interimResponseIsSkipped(String status, int count) throws Exception {
    String interim = "HTTP/1.1 " + status + " X\r\n\r\n";
    startTargets(
        interim.repeat(count)
            + "HTTP/1.1 200 X\r\nVerbenahatch-Request-Id: $ID\r\nContent-Length: 2\r\n\r\nok");
    assertEquals(all(200), call("POST", "/orders/"));
  }
}
