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

/** Simulates one release from its start to its deadline in virtual time. */
final class ReleaseTrial {

  /**
   * Holds the result of one release.
   *
   * @param completed whether the new version serves all requests before the deadline
   * @param rolledBack whether the release was rolled back
   * @param harmedFraction the fraction of all requests that the fault harmed, from 0 to 1
   * @param detectedSecond the second at which the pooled evidence was significant or, if that was
   *     earlier, the first host halted the release; NaN if neither happened
   * @param firstFaultSecond the second of the first request that the fault harmed; NaN if none
   * @param lastNewSecond the second of the last request to the new version; NaN if none
   */
  record Outcome(
      boolean completed,
      boolean rolledBack,
      double harmedFraction,
      double detectedSecond,
      double firstFaultSecond,
      double lastNewSecond) {}

  private static final double WINDOW_SECONDS = 900;
  private static final Duration STEP = Duration.ofMillis(100);
  private static final double STEP_SECONDS = 0.1;
  private static final String OLD_VERSION = "v1";
  private static final String NEW_VERSION = "v2";

  private final ReleaseScenario scenario;
  private final VersionModel model;
  private final Random random;
  private final ReleaseSimulation simulation;
  private final SequentialTest[] pooledTests;
  private long requests;
  private long harmed;
  private double newFraction;
  private double firstNew = Double.NaN;
  private double lastNew = Double.NaN;
  private double firstFault = Double.NaN;
  private double detected = Double.NaN;

  ReleaseTrial(ReleaseScenario scenario, VersionModel.Kind kind, long seed) {
    this.scenario = scenario;
    this.random = new Random(seed);
    this.model = new VersionModel(scenario, kind, WINDOW_SECONDS, random);
    this.simulation =
        new ReleaseSimulation(
            new ManualClock(),
            seed,
            scenario.hosts(),
            scenario.maxDelay(),
            new InMemoryObjectStore(),
            document());
    this.pooledTests = new SequentialTest[scenario.routeFractions().size()];
    for (int i = 0; i < pooledTests.length; i++) {
      pooledTests[i] = new SequentialTest();
    }
  }

  private EnvironmentDocument document() {
    // The first minute gives the latency of the old version before the release starts.
    String start = Instant.ofEpochSecond(60).toString();
    String deadline = Instant.ofEpochSecond((long) WINDOW_SECONDS).toString();
    return new EnvironmentDocument(
        "production",
        1,
        List.of(),
        List.of(),
        List.of(new EnvironmentDocument.Service(scenario.name(), OLD_VERSION, List.of())),
        List.of(),
        List.of(),
        List.of(
            new EnvironmentDocument.Release(
                "release-1", scenario.name(), OLD_VERSION, NEW_VERSION, start, deadline)),
        List.of());
  }

  Outcome run() {
    for (double second = 0; second < WINDOW_SECONDS; second += STEP_SECONDS) {
      simulation.network().advance(STEP);
      step(second);
    }
    ReleaseRecord.State state =
        simulation
            .record(scenario.name())
            .map(ReleaseRecord::state)
            .orElse(ReleaseRecord.State.RUNNING);
    return new Outcome(
        state == ReleaseRecord.State.DONE,
        state == ReleaseRecord.State.REVERSED,
        harmed / (double) requests,
        detected,
        firstFault,
        lastNew);
  }

  private void step(double second) {
    List<RouteCounts> counts = new ArrayList<>();
    addEmptyCounts(counts);
    long stepRequests = 0;
    long stepNew = 0;
    for (int host = 0; host < scenario.hosts(); host++) {
      int arrivals = drawPoisson(scenario.requestsPerSecond() * STEP_SECONDS / scenario.hosts());
      for (int i = 0; i < arrivals; i++) {
        boolean isNew = sendRequest(host, second, counts);
        stepRequests++;
        stepNew += isNew ? 1 : 0;
      }
    }
    requests += stepRequests;
    if (Double.isNaN(detected) && isHaltedOnAnyHost()) {
      detected = second;
    }
    // Moving average over about 2 s, the time in which load builds up in a target.
    newFraction += ((stepRequests == 0 ? 0 : stepNew / (double) stepRequests) - newFraction) * 0.05;
    for (int route = 0; route < pooledTests.length; route++) {
      if (pooledTests[route].add(counts.get(route)).isPresent() && Double.isNaN(detected)) {
        detected = second;
      }
    }
  }

  private boolean isHaltedOnAnyHost() {
    for (int host = 0; host < scenario.hosts(); host++) {
      for (ReleaseStatus status : simulation.releases(host).status()) {
        if (status.state().equals("reversed")) {
          return true;
        }
      }
    }
    return false;
  }

  private void addEmptyCounts(List<RouteCounts> counts) {
    for (int i = 0; i < pooledTests.length; i++) {
      counts.add(RouteCounts.NONE);
    }
  }

  private boolean sendRequest(int host, double second, List<RouteCounts> counts) {
    int route = model.drawRoute();
    String version =
        simulation.releases(host).chooseVersion(scenario.name(), OLD_VERSION, random.nextDouble());
    boolean isNew = version.equals(NEW_VERSION);
    if (isNew) {
      firstNew = Double.isNaN(firstNew) ? second : firstNew;
      lastNew = second;
    }
    VersionModel.Outcome outcome =
        model.drawOutcome(isNew, second, route, newFraction, second - firstNew);
    if (outcome.harmed()) {
      harmed++;
      firstFault = Double.isNaN(firstFault) ? second : firstFault;
    }
    simulation
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

  private int drawPoisson(double mean) {
    double limit = Math.exp(-mean);
    int count = 0;
    for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
      count++;
    }
    return count;
  }
}
