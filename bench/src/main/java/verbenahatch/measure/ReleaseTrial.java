package verbenahatch.measure;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.release.ReleaseStatus;
import verbenahatch.release.RouteCounts;
import verbenahatch.release.SequentialTest;
import verbenahatch.release.testing.ReleaseSimulation;
import verbenahatch.standins.InMemoryObjectStore;

/** Drives one release from its start to its deadline in virtual time. */
final class ReleaseTrial {

  /**
   * Holds the result of one release.
   *
   * @param done whether the new version carries all requests before the deadline
   * @param reversed whether it was rolled back
   * @param harmedShare requests that the fault harmed, as a share of all requests
   * @param shownSecond when the pooled evidence was significant or, if that was earlier, when the
   *     first host halted the release; NaN if neither happened
   * @param faultSecond when the first request met the fault, NaN if none did
   * @param lastNewSecond when the new version got its last request
   */
  record Outcome(
      boolean done,
      boolean reversed,
      double harmedShare,
      double shownSecond,
      double faultSecond,
      double lastNewSecond) {}

  private static final double WINDOW_SECONDS = 900;
  private static final Duration STEP = Duration.ofMillis(100);
  private static final double STEP_SECONDS = 0.1;
  private static final String OLD = "v1";
  private static final String NEW = "v2";

  private final ReleaseScenario scenario;
  private final VersionModel model;
  private final Random random;
  private final ReleaseSimulation world;
  private final SequentialTest[] pooled;
  private long requests;
  private long harmed;
  private double newShare;
  private double firstNew = Double.NaN;
  private double lastNew = Double.NaN;
  private double fault = Double.NaN;
  private double shown = Double.NaN;

  ReleaseTrial(ReleaseScenario scenario, VersionModel.Kind kind, long seed) {
    this.scenario = scenario;
    this.random = new Random(seed);
    this.model = new VersionModel(scenario, kind, WINDOW_SECONDS, random);
    this.world =
        new ReleaseSimulation(
            new ManualClock(),
            seed,
            scenario.hosts(),
            scenario.maxDelay(),
            new InMemoryObjectStore(),
            document());
    this.pooled = new SequentialTest[scenario.routes().size()];
    for (int i = 0; i < pooled.length; i++) {
      pooled[i] = new SequentialTest();
    }
  }

  private EnvironmentDocument document() {
    // The first minute shows the latency of the old version before the release starts.
    String start = Instant.ofEpochSecond(60).toString();
    String deadline = Instant.ofEpochSecond((long) WINDOW_SECONDS).toString();
    return new EnvironmentDocument(
        "production",
        1,
        List.of(),
        List.of(),
        List.of(new EnvironmentDocument.Service(scenario.name(), OLD, List.of())),
        List.of(),
        List.of(),
        List.of(
            new EnvironmentDocument.Release(
                "release-1", scenario.name(), OLD, NEW, start, deadline)),
        List.of());
  }

  Outcome run() {
    for (double second = 0; second < WINDOW_SECONDS; second += STEP_SECONDS) {
      world.network().advance(STEP);
      step(second);
    }
    ReleaseRecord.State state =
        world.record(scenario.name()).map(ReleaseRecord::state).orElse(ReleaseRecord.State.RUNNING);
    return new Outcome(
        state == ReleaseRecord.State.DONE,
        state == ReleaseRecord.State.REVERSED,
        harmed / (double) requests,
        shown,
        fault,
        lastNew);
  }

  private void step(double second) {
    List<RouteCounts> counts = new ArrayList<>();
    pooledStart(counts);
    long stepRequests = 0;
    long stepNew = 0;
    for (int host = 0; host < scenario.hosts(); host++) {
      int arrivals = poisson(scenario.requestsPerSecond() * STEP_SECONDS / scenario.hosts());
      for (int i = 0; i < arrivals; i++) {
        boolean isNew = request(host, second, counts);
        stepRequests++;
        stepNew += isNew ? 1 : 0;
      }
    }
    requests += stepRequests;
    if (Double.isNaN(shown) && isHaltedAnywhere()) {
      shown = second;
    }
    // Smoothed over about 2 s, the time over which load builds up in a target.
    newShare += ((stepRequests == 0 ? 0 : stepNew / (double) stepRequests) - newShare) * 0.05;
    for (int route = 0; route < pooled.length; route++) {
      if (pooled[route].add(counts.get(route)).isPresent() && Double.isNaN(shown)) {
        shown = second;
      }
    }
  }

  private boolean isHaltedAnywhere() {
    for (int host = 0; host < scenario.hosts(); host++) {
      for (ReleaseStatus status : world.releases(host).status()) {
        if (status.state().equals("reversed")) {
          return true;
        }
      }
    }
    return false;
  }

  private void pooledStart(List<RouteCounts> counts) {
    for (int i = 0; i < pooled.length; i++) {
      counts.add(RouteCounts.NONE);
    }
  }

  private boolean request(int host, double second, List<RouteCounts> counts) {
    int route = model.drawRoute();
    String version = world.releases(host).chooseVersion(scenario.name(), OLD, random.nextDouble());
    boolean isNew = version.equals(NEW);
    if (isNew) {
      firstNew = Double.isNaN(firstNew) ? second : firstNew;
      lastNew = second;
    }
    VersionModel.Outcome outcome = model.draw(isNew, second, route, newShare, second - firstNew);
    if (outcome.harmed()) {
      harmed++;
      fault = Double.isNaN(fault) ? second : fault;
    }
    world
        .releases(host)
        .record(
            scenario.name(),
            "route-" + route,
            version,
            outcome.failed(),
            (long) (outcome.millis() * 1e6));
    counts.set(route, counts.get(route).plus(count(isNew, outcome)));
    return isNew;
  }

  private RouteCounts count(boolean isNew, VersionModel.Outcome outcome) {
    long failed = outcome.failed() ? 1 : 0;
    long slow = !outcome.failed() && outcome.millis() > model.slowMillis() ? 1 : 0;
    return isNew
        ? new RouteCounts(1, failed, slow, 0, 0, 0)
        : new RouteCounts(0, 0, 0, 1, failed, slow);
  }

  private int poisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }
}
