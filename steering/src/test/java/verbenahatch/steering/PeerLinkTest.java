package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against beats that come apart, twice or too late. */
class PeerLinkTest {

  @ParameterizedTest
  @CsvSource({"667, 0", "667, 1234567", "667, 1234890", "400, 17", "3800, 999999", "667, -5"})
  void hostsOfOneZoneSendTogether(long period, long wallMillis) {
    long first = PeerLink.pauseMillis(period, "z", wallMillis);
    long second = PeerLink.pauseMillis(period, "z", wallMillis + 40);
    long apart = Math.floorMod(first - second - 40, period);
    assertEquals(0, apart, "moments of sending differ by " + apart + " ms");
    assertTrue(first >= period / 4 && first <= period * 5 / 4, "pause of " + first);
  }
}
