package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against the copy of a response that is taken for the response to the next request on its
 * connection.
 */
class RepeatedResponseTest {

  /** A response that a target sends twice, the second time when the next request has arrived. */
  private enum Copied {
    SHED("503 X\r\nVerbenahatch-Shed: not-run"),
    UNAVAILABLE("503 X\r\nRetry-After: 1"),
    TOO_MANY("429 X\r\nRetry-After: 1"),
    MISDIRECTED("421 X"),
    OK("200 OK");

    private final String statusAndField;

    Copied(String statusAndField) {
      this.statusAndField = statusAndField;
    }

    String response(String id) {
      String idField = id.isEmpty() ? "" : "\r\nVerbenahatch-Request-Id: " + id;
      return "HTTP/1.1 " + statusAndField + idField + "\r\nContent-Length: 4\r\n\r\ncopy";
    }
  }

  private final Map<Socket, String> copies = new ConcurrentHashMap<>();
  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private ScriptedTarget repeatingTarget(Copied copied, boolean repeatsId) throws IOException {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          String id =
              repeatsId ? ScriptedTarget.header(requestHead, "verbenahatch-request-id") : "";
          if (requestHead.startsWith("GET /proofs/first ")) {
            copies.put(socket, copied.response(id));
            return ScriptedTarget.write(socket, copied.response(id));
          }
          String copy = copies.remove(socket);
          if (copy != null) {
            ScriptedTarget.write(socket, copy);
          }
          String idField = id.isEmpty() ? "" : "\r\nVerbenahatch-Request-Id: " + id;
          return ScriptedTarget.write(
              socket, "HTTP/1.1 200 OK" + idField + "\r\nContent-Length: 3\r\n\r\nown");
        });
  }

  static Stream<Arguments> copies() {
    return Stream.of(Copied.values())
        .flatMap(copied -> Stream.of(true, false).map(id -> Arguments.of(copied, id)));
  }

  @ParameterizedTest
  @MethodSource("copies")
  void copyIsNotTheResponseToTheNextRequest(Copied copied, boolean repeatsId) throws Exception {
    gateway.target(repeatingTarget(copied, repeatsId), "dakar");
    gateway.send(gateway.keyed("/proofs/first"));
    HttpResponse<String> response = gateway.send(gateway.keyed("/proofs/second"));
    if (response.statusCode() == 502) {
      assertEquals("answer-mismatched", GatewayFixture.reason(response));
      assertEquals("unknown", GatewayFixture.outcome(response));
    } else {
      assertEquals(200, response.statusCode());
      assertEquals("own", response.body());
      assertEquals("run", GatewayFixture.outcome(response));
    }
  }

  /** Polls have no id, and shared their connections with requests. */
  @Test
  void copyOfPollResponseIsNotTheResponseToRequest() throws Exception {
    ScriptedTarget target = ScriptedTarget.respondingWith("own");
    target.repeatsPollResponses = true;
    gateway.target(target, "dakar");
    for (int i = 0; i < 5; i++) {
      int pollsBefore = target.polls.get();
      GatewayFixture.awaitCondition(() -> target.polls.get() >= pollsBefore + 2);
      assertEquals("own", gateway.send(gateway.keyed("/proofs/1")).body());
    }
  }
}
