package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against targets that left and are used on by a host that was cut off (DRAIN on
 * casa-abierta, scale-2 seed 75470517729), and against targets dropped because their entries lapsed
 * in an outage.
 */
class RegistryOutageTest {

  @ParameterizedTest
  @CsvSource({
    // Others saw the registry go on at 20, while this host was cut off until 90.
    "101, 20",
    // Others saw nothing newer: the registry was down for all.
    "100, 90"
  })
  void returnBeginsWhenAnotherHostSawTheRegistry(long heard, long expected) {
    RegistryOutage outage = new RegistryOutage();
    outage.lost(100);
    outage.heard(heard, 20);
    outage.heard(heard + 5, 90);
    assertEquals(expected, outage.returned(90));
  }

  /** A host that lags behind the others before an outage of all must not take that for news. */
  @Test
  void whatOthersKnewBeforeTheLossIsNoNews() {
    RegistryOutage outage = new RegistryOutage();
    outage.heard(120, 5);
    outage.lost(120);
    outage.heard(120, 30);
    assertEquals(90, outage.returned(90));
  }

  @Test
  void eachOutageBeginsAnew() {
    RegistryOutage outage = new RegistryOutage();
    outage.lost(100);
    outage.heard(101, 20);
    assertEquals(20, outage.returned(30));
    assertEquals(40, outage.returned(40));
    outage.lost(101);
    assertEquals(60, outage.returned(60));
  }
}
