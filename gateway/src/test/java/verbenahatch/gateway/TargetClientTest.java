package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TargetClientTest {

  /** Covers the buffers of both sockets beside what the gateway reads. */
  private static final long MAX_SENT_BYTES = 16L * 1024 * 1024;

  /**
   * A head was kept whatever its length, so a target that sent one without end used up the memory
   * of the process before the request timed out.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 |x",
        "HTTP/1.1 200 OK\r\nX-Long: |x",
        "HTTP/1.1 200 OK\r\n|X-Field: value\r\n"
      })
  void headWithoutEndIsCutOff(String head) throws Exception {
    int mark = head.indexOf('|');
    String repeated = head.substring(mark + 1).repeat(4_096);
    AtomicLong sentBytes = new AtomicLong();
    ScriptedTarget target =
        new ScriptedTarget(
            (requestHead, socket) -> {
              ScriptedTarget.write(socket, head.substring(0, mark));
              while (true) {
                ScriptedTarget.write(socket, repeated);
                sentBytes.addAndGet(repeated.length());
              }
            });
    try (GatewayFixture fixture = new GatewayFixture().target(target, "dakar")) {
      assertEquals(502, fixture.send(fixture.request("/public/a")).statusCode());
      assertTrue(sentBytes.get() < MAX_SENT_BYTES, "read up to " + sentBytes + " bytes");
    }
  }
}
