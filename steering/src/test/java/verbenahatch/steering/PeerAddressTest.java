package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PeerAddressTest {

  @ParameterizedTest
  @CsvSource({"10.1.0.23:7460, 10.1.0.23, 7460", "127.0.0.1:1, 127.0.0.1, 1"})
  void parsesAddressAndPort(String text, String address, int port) {
    InetSocketAddress parsed = PeerAddress.parse(text);
    assertNotNull(parsed);
    assertEquals(address, parsed.getAddress().getHostAddress());
    assertEquals(port, parsed.getPort());
  }

  /** Guards against look-ups of names and against exceptions on the thread of the link. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ":",
        ":1",
        "10.1.0.23",
        "10.1.0.23:",
        "10.1.0.23:0",
        "10.1.0.23:65536",
        "10.1.0.23:-1",
        "10.1.0.23:99999999999",
        "host.example:7460",
        "10.1.0:1",
        "10.1.0.23:x"
      })
  void rejectsWhatIsNoAddress(String text) {
    assertNull(PeerAddress.parse(text));
  }
}
