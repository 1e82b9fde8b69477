package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.StoreRevision;

/**
 * Guards against removed targets that a host still uses after a network partition (DRAIN on
 * casa-abierta, scale-2 seed 75470517729), and against targets that are dropped because their
 * entries expired in an outage of the registry.
 */
class RegistryOutageTest {

  private static StoreRevision revision(long number) {
    return new StoreRevision(0, number);
  }

  @ParameterizedTest
  @CsvSource({
    // Others received a newer revision at 20, while this host was partitioned until 90.
    "101, 20",
    // Others received no newer revision: the registry was down for all.
    "100, 90"
  })
  void returnsTimeAtWhichAnotherHostReachedTheRegistry(long peerRevision, long expected) {
    RegistryOutage outage = new RegistryOutage();
    outage.markLost(revision(100));
    outage.observePeerRevision(revision(peerRevision), 20);
    outage.observePeerRevision(revision(peerRevision + 5), 90);
    assertEquals(expected, outage.markReachable(90));
  }

  /**
   * A host that lagged behind the others before an outage must not take revisions from before the
   * outage for a sign that the registry answers them.
   */
  @Test
  void ignoresRevisionThatPeersHadBeforeTheLoss() {
    RegistryOutage outage = new RegistryOutage();
    outage.observePeerRevision(revision(120), 5);
    outage.markLost(revision(120));
    outage.observePeerRevision(revision(120), 30);
    assertEquals(90, outage.markReachable(90));
  }

  @Test
  void eachOutageIsIndependent() {
    RegistryOutage outage = new RegistryOutage();
    outage.markLost(revision(100));
    outage.observePeerRevision(revision(101), 20);
    assertEquals(20, outage.markReachable(30));
    assertEquals(40, outage.markReachable(40));
    outage.markLost(revision(101));
    assertEquals(60, outage.markReachable(60));
  }
}
