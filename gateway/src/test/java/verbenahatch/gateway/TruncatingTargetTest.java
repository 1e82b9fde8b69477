package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a target that truncates its responses and counts as good. */
class TruncatingTargetTest {

  @ParameterizedTest
  @ValueSource(
      strings = {"Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n20000\r\n"})
  void truncatedResponseCountsAsFailure(String framing) throws Exception {
    try (GatewayFixture gateway = new GatewayFixture()) {
      gateway.target(
          new ScriptedTarget(
              (requestHead, socket) -> {
                String id = ScriptedTarget.header(requestHead, "verbenahatch-request-id");
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: "
                        + id
                        + "\r\n"
                        + framing
                        + "x".repeat(100_000));
                return false;
              }),
          "dakar");
      assertThrows(IOException.class, () -> gateway.send(gateway.keyed("/proofs")));
      GatewayFixture.awaitCondition(() -> gateway.server.inFlight() == 0);
      assertEquals(1, gateway.releases.failures.get());
    }
  }
}
