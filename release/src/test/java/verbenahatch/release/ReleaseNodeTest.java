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
  private static final int ARRIVALS = 8;

  private final Random random = new Random(SEED);
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final ReleaseSimulation world =
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

  private void run(double seconds, double newFailures) {
    run(seconds, newFailures, ARRIVALS);
  }

  private void run(double seconds, double newFailures, int arrivals) {
    for (int step = 0; step < seconds * 10; step++) {
      world.network().advance(Duration.ofMillis(100));
      for (int host = 0; host < HOSTS; host++) {
        for (int i = 0; i < arrivals; i++) {
          request(host, newFailures);
        }
      }
    }
  }

  private void request(int host, double newFailures) {
    Releases releases = world.releases(host);
    String version = releases.chooseVersion(SERVICE, OLD, random.nextDouble());
    boolean isNew = version.equals(NEW);
    newRequests[host] += isNew ? 1 : 0;
    boolean faulty = isNew && (faultyHost < 0 || faultyHost == host);
    boolean failed = random.nextDouble() < (faulty ? newFailures : 0.005);
    long latency = (long) (40e6 * Math.exp(0.5 * random.nextGaussian()));
    releases.record(SERVICE, "read", version, failed, latency);
  }

  private long totalNew() {
    long sum = 0;
    for (long count : newRequests) {
      sum += count;
    }
    return sum;
  }

  private ReleaseRecord found() {
    return world.record(SERVICE).orElseThrow(() -> new AssertionError("no record, seed " + SEED));
  }

  /** Guards against a good version that is not done before its deadline. */
  @Test
  void finishesGoodVersion() {
    run(DEADLINE_SECONDS, 0.005);
    assertEquals(ReleaseRecord.State.DONE, found().state());
    for (int host = 0; host < HOSTS; host++) {
      assertEquals(NEW, world.releases(host).chooseVersion(SERVICE, OLD, 0.999));
      assertEquals("done", world.releases(host).status().get(0).state());
    }
  }

  /** Guards against a faulty version that any host still uses 2 s after its halt. */
  @Test
  void haltsFaultyVersionOnEveryHost() {
    run(150, 0.005);
    assertEquals(0.5, found().exposure());
    run(4, 0.5);
    final long before = totalNew();
    run(30, 0.5);
    assertEquals(before, totalNew(), "seed " + SEED);
    assertEquals(ReleaseRecord.State.REVERSED, found().state());
    assertTrue(found().reason().contains("fails more often"), found().reason());
  }

  /** Guards against a halt that needs the store. */
  @Test
  void haltsWhileStoreIsDown() {
    run(150, 0.005);
    store.setFaults(StoreFaults.DOWN);
    run(4, 0.5);
    final long before = totalNew();
    run(10, 0.5);
    assertEquals(before, totalNew(), "seed " + SEED);
    store.setFaults(StoreFaults.NONE);
    run(5, 0.5);
    assertEquals(ReleaseRecord.State.REVERSED, found().state());
  }

  /** Guards against hosts that see no fault themselves and ignore the halt of another host. */
  @Test
  void haltOfOneHostReachesAllWithoutStore() {
    run(150, 0.005);
    store.setFaults(StoreFaults.DOWN);
    faultyHost = 3;
    run(5, 0.9);
    final long before = totalNew();
    run(10, 0.9);
    assertEquals(before, totalNew(), "seed " + SEED);
  }

  /** Guards against exposure that changes while no record can be written. */
  @Test
  void keepsExposureWhileStoreIsDown() {
    run(80, 0.005);
    final double exposure = found().exposure();
    store.setFaults(StoreFaults.DOWN);
    run(60, 0.005);
    long before = totalNew();
    run(20, 0.005);
    double share = (totalNew() - before) / (20.0 * 10 * HOSTS * ARRIVALS);
    assertEquals(exposure, share, 0.03, "seed " + SEED);
    store.setFaults(StoreFaults.NONE);
    run(60, 0.005);
    assertEquals(ReleaseRecord.State.DONE, found().state());
  }

  /** Guards against a host that cannot learn of a halt and goes on exposing callers. */
  @Test
  void exposesNothingOnHostThatIsNotFresh() {
    run(150, 0.005);
    world.setFresh(2, false);
    long before = newRequests[2];
    run(10, 0.005);
    assertEquals(before, newRequests[2]);
    world.setFresh(2, true);
    run(10, 0.005);
    assertTrue(newRequests[2] > before);
  }

  /** Guards against a version that few requests have tried and that is taken for good. */
  @Test
  void rollsBackOnThinEvidence() {
    run(10, 0.005);
    run(DEADLINE_SECONDS - 10, 0.005, 0);
    assertEquals(ReleaseRecord.State.REVERSED, found().state());
    assertTrue(found().reason().startsWith("thin evidence"), found().reason());
    assertEquals(OLD, world.releases(0).chooseVersion(SERVICE, OLD, 0));
  }

  /** Guards against a lost answer of the store that raises the exposure twice. */
  @Test
  void survivesLostAnswersOfTheStore() {
    for (int i = 0; i < DEADLINE_SECONDS; i++) {
      if (i % 5 == 0) {
        store.setFaults(StoreFaults.losingAnswers(1));
      }
      run(1, 0.005);
    }
    assertEquals(ReleaseRecord.State.DONE, found().state());
    assertEquals(6, found().generation(), "one write for each stage and one at the end");
  }
}
