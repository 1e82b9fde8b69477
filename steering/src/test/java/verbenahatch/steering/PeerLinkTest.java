package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against heartbeats of a zone that are sent at different times, twice or too late. */
class PeerLinkTest {

  @ParameterizedTest
  @CsvSource({"667, 0", "667, 1234567", "667, 1234890", "400, 17", "3800, 999999", "667, -5"})
  void hostsOfOneZoneSendAtTheSameTime(long period, long wallMillis) {
    long first = PeerLink.delayMillis(period, "z", wallMillis);
    long second = PeerLink.delayMillis(period, "z", wallMillis + 40);
    long differenceMillis = Math.floorMod(first - second - 40, period);
    assertEquals(0, differenceMillis, "send times differ by " + differenceMillis + " ms");
    assertTrue(first >= period / 4 && first <= period * 5 / 4, "delay of " + first);
  }
}
