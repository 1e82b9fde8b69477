package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response that mixes those of two attempts. */
class RetriedResponseTest {

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  private static ScriptedTarget targetFailingAfterHead(String framing) throws Exception {
    return new ScriptedTarget(
        (requestHead, socket) -> {
          ScriptedTarget.write(
              socket,
              "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: "
                  + ScriptedTarget.header(requestHead, "verbenahatch-request-id")
                  + "\r\nX-Attempt: first\r\n"
                  + framing
                  + "\r\n\r\n");
          return false;
        });
  }

  /** The fields of a response that failed before its body were added to those of the next one. */
  @ParameterizedTest
  @CsvSource({
    "Content-Length: 5, false",
    "Content-Length: 5, true",
    "Transfer-Encoding: chunked, false",
    "Transfer-Encoding: chunked, true"
  })
  void responseOfRetryHasItsOwnFieldsOnly(String framing, boolean hostLeaves) throws Exception {
    gateway.target(targetFailingAfterHead(framing), "dakar");
    gateway.target(ScriptedTarget.respondingWith("ok"), "thies");
    if (hostLeaves) {
      gateway.server.beginDrain();
    }
    try (RawCaller raw = new RawCaller(gateway.server.port())) {
      raw.send("GET /proofs/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + Fakes.KEY);
      String response = raw.send("\r\n\r\n").readUntil("\r\n\r\nok");
      assertTrue(response.endsWith("\r\n\r\nok"), response);
      assertTrue(response.contains("Content-Length: 2"), response);
      assertEquals(-1, response.indexOf("X-Attempt"), response);
      assertEquals(-1, response.indexOf("chunked"), response);
      assertEquals(hostLeaves, response.contains("Connection: close"), response);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"Content-Length: 5", "Transfer-Encoding: chunked\r\nTrailer: X-End"})
  void refusalAfterFailedResponseHasItsOwnFieldsOnly(String framing) throws Exception {
    gateway.target(targetFailingAfterHead(framing), "dakar");
    HttpResponse<String> response = gateway.send(gateway.keyed("/proofs/1"));
    assertEquals("target-failed", GatewayFixture.reason(response));
    assertEquals("unknown", GatewayFixture.outcome(response));
    assertTrue(response.body().contains("target-failed"), response.body());
    assertTrue(response.headers().firstValue("X-Attempt").isEmpty());
  }
}
