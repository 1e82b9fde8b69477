package verbenahatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.release.testing.ReleaseSimulation;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

class ReleaseNodeTest {

  private static final String SERVICE = "catalogue";
  private static final String OLD = "v1";
  private static final String NEW = "v2";
  private static final long SEED = 11;
  private static final int HOSTS = 5;
  private static final int DEADLINE_SECONDS = 200;

  /** Requests per host and step of 100 ms. */
  private static final int ARRIVALS_PER_STEP = 8;

  private final Random random = new Random(SEED);
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final ReleaseSimulation simulation =
      new ReleaseSimulation(
          new ManualClock(), SEED, HOSTS, Duration.ofMillis(35), store, document());
  private final long[] newRequests = new long[HOSTS];
  private int faultyHost = -1;

  private static EnvironmentDocument document() {
    return new EnvironmentDocument(
        "production",
        1,
        List.of(),
        List.of(),
        List.of(new EnvironmentDocument.Service(SERVICE, OLD, List.of())),
        List.of(),
        List.of(),
        List.of(
            new EnvironmentDocument.Release(
                "release-1",
                SERVICE,
                OLD,
                NEW,
                Instant.EPOCH.toString(),
                Instant.ofEpochSecond(DEADLINE_SECONDS).toString())),
        List.of());
  }

  private void run(double seconds, double newFailureRate) {
    run(seconds, newFailureRate, ARRIVALS_PER_STEP);
  }

  private void run(double seconds, double newFailureRate, int arrivals) {
    for (int step = 0; step < seconds * 10; step++) {
      simulation.network().advance(Duration.ofMillis(100));
      for (int host = 0; host < HOSTS; host++) {
        for (int i = 0; i < arrivals; i++) {
          request(host, newFailureRate);
        }
      }
    }
  }

  private void request(int host, double newFailureRate) {
    Releases releases = simulation.releases(host);
    String version = releases.chooseVersion(SERVICE, OLD, random.nextDouble());
    boolean isNew = version.equals(NEW);
    newRequests[host] += isNew ? 1 : 0;
    boolean isFaulty = isNew && (faultyHost < 0 || faultyHost == host);
    boolean failed = random.nextDouble() < (isFaulty ? newFailureRate : 0.005);
    long latency = (long) (40e6 * Math.exp(0.5 * random.nextGaussian()));
    releases.record(SERVICE, "read", version, failed, latency);
  }

  private long totalNewRequests() {
    long sum = 0;
    for (long count : newRequests) {
      sum += count;
    }
    return sum;
  }

  private ReleaseRecord storedRecord() {
    return simulation
        .record(SERVICE)
        .orElseThrow(() -> new AssertionError("no record, seed " + SEED));
  }

  /** Guards against a release of a good version that is not done before its deadline. */
  @Test
  void finishesGoodVersion() {
    run(DEADLINE_SECONDS, 0.005);
    assertEquals(ReleaseRecord.State.DONE, storedRecord().state());
    for (int host = 0; host < HOSTS; host++) {
      assertEquals(NEW, simulation.releases(host).chooseVersion(SERVICE, OLD, 0.999));
      assertEquals("done", simulation.releases(host).status().get(0).state());
    }
  }

  /** Guards against a faulty version to which a host still sends requests 2 s after its halt. */
  @Test
  void haltsFaultyVersionOnEveryHost() {
    run(150, 0.005);
    assertEquals(0.5, storedRecord().exposure());
    run(4, 0.5);
    final long requestsBefore = totalNewRequests();
    run(30, 0.5);
    assertEquals(requestsBefore, totalNewRequests(), "seed " + SEED);
    assertEquals(ReleaseRecord.State.REVERSED, storedRecord().state());
    assertTrue(storedRecord().reason().contains("fails more often"), storedRecord().reason());
  }

  /** Guards against a halt that depends on the store. */
  @Test
  void haltsWhileStoreIsDown() {
    run(150, 0.005);
    store.setFaults(StoreFaults.DOWN);
    run(4, 0.5);
    final long requestsBefore = totalNewRequests();
    run(10, 0.5);
    assertEquals(requestsBefore, totalNewRequests(), "seed " + SEED);
    store.setFaults(StoreFaults.NONE);
    run(5, 0.5);
    assertEquals(ReleaseRecord.State.REVERSED, storedRecord().state());
  }

  /** Guards against hosts that find no fault themselves and ignore the halt of another host. */
  @Test
  void haltOfOneHostReachesAllWithoutStore() {
    run(150, 0.005);
    store.setFaults(StoreFaults.DOWN);
    faultyHost = 3;
    run(5, 0.9);
    final long requestsBefore = totalNewRequests();
    run(10, 0.9);
    assertEquals(requestsBefore, totalNewRequests(), "seed " + SEED);
  }

  /** Guards against exposure that changes while no record can be written. */
  @Test
  void keepsExposureWhileStoreIsDown() {
    run(80, 0.005);
    final double exposure = storedRecord().exposure();
    store.setFaults(StoreFaults.DOWN);
    run(60, 0.005);
    long requestsBefore = totalNewRequests();
    run(20, 0.005);
    double newFraction =
        (totalNewRequests() - requestsBefore) / (20.0 * 10 * HOSTS * ARRIVALS_PER_STEP);
    assertEquals(exposure, newFraction, 0.03, "seed " + SEED);
    store.setFaults(StoreFaults.NONE);
    run(60, 0.005);
    assertEquals(ReleaseRecord.State.DONE, storedRecord().state());
  }

  /**
   * Guards against a host that cannot receive a halt and keeps sending requests to the new version.
   */
  @Test
  void exposesNothingOnHostThatIsNotFresh() {
    run(150, 0.005);
    simulation.setFresh(2, false);
    long requestsBefore = newRequests[2];
    run(10, 0.005);
    assertEquals(requestsBefore, newRequests[2]);
    simulation.setFresh(2, true);
    run(10, 0.005);
    assertTrue(newRequests[2] > requestsBefore);
  }

  /** Guards against a new version that is considered good although it handled few requests. */
  @Test
  void rollsBackOnInsufficientEvidence() {
    run(10, 0.005);
    run(DEADLINE_SECONDS - 10, 0.005, 0);
    assertEquals(ReleaseRecord.State.REVERSED, storedRecord().state());
    assertTrue(storedRecord().reason().startsWith("thin evidence"), storedRecord().reason());
    assertEquals(OLD, simulation.releases(0).chooseVersion(SERVICE, OLD, 0));
  }

  /** Guards against a lost response of the store that raises the exposure twice. */
  @Test
  void survivesLostStoreResponses() {
    for (int i = 0; i < DEADLINE_SECONDS; i++) {
      if (i % 5 == 0) {
        store.setFaults(StoreFaults.losingAnswers(1));
      }
      run(1, 0.005);
    }
    assertEquals(ReleaseRecord.State.DONE, storedRecord().state());
    assertEquals(6, storedRecord().generation(), "one write for each stage and one at the end");
  }
}
