package verbenahatch.measure.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import verbenahatch.limits.LimitSpec;
import verbenahatch.limits.Limits;
import verbenahatch.limits.testing.AdmissionLog;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.limits.testing.RequestLoad;
import verbenahatch.limits.testing.SimulatedHost;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Workspace;

/**
 * Measures shares of a limit on simulated hosts in virtual time: refusals at loads within the rate
 * while callers move, after a host is killed and during a store outage; excess; messages; bytes.
 */
public final class LimitsMeasurement implements Measurement {

  private static final int HOSTS = 9;
  private static final int REGIONS = 3;
  private static final double RATE = 200;
  private static final double BURST = 100;
  private static final double LOAD_PER_SECOND = 0.8 * RATE;
  private static final double OUTAGE_LOAD_PER_SECOND = 0.3 * RATE;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration OUTAGE_TICK = Duration.ofMillis(50);
  private static final int[] FLEET_SIZES = {9, 18, 36, 72};
  private static final int WORKSPACES = 8;
  private static final double REQUESTS_PER_SECOND_AND_HOST = 30;
  private static final Duration COST_DURATION = Duration.ofSeconds(20);
  private static final double PERCENT = 100;

  private final List<Figure> figures = new ArrayList<>();
  private double excess;

  /** Ways to admit requests: the shares of the system and two baselines. */
  private enum Approach {
    SHARES("shares"),
    STATIC("static-split"),
    OWNER("single-owner");

    private final String label;

    Approach(String label) {
      this.label = label;
    }
  }

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public List<Figure> run(long seed) {
    figures.clear();
    excess = 0;
    for (Approach approach : Approach.values()) {
      measureMovingCallers(approach, seed);
      measureKill(approach, seed, true);
      measureKill(approach, seed, false);
      measureStoreOutage(approach, seed, true);
      measureStoreOutage(approach, seed, false);
    }
    figures.add(Figure.atMost("limits-excess", excess, "requests", 0));
    measureCosts(seed);
    return List.copyOf(figures);
  }

  private static EnvironmentDocument document(int hosts) {
    List<Workspace> workspaces = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      workspaces.add(new Workspace("w" + i, RATE * hosts / HOSTS, BURST * hosts / HOSTS, 1));
    }
    List<Region> regions = new ArrayList<>();
    List<Link> links = new ArrayList<>();
    for (int i = 0; i < REGIONS; i++) {
      regions.add(new Region("r" + i, List.of("r" + i + "a"), 60));
      for (int j = 0; j < REGIONS; j++) {
        if (i != j) {
          links.add(new Link("r" + i, "r" + j, 280, 35));
        }
      }
    }
    return new EnvironmentDocument(
        "trial",
        1,
        regions,
        links,
        List.of(),
        List.of(),
        List.copyOf(workspaces),
        List.of(),
        List.of());
  }

  private static LimitSimulation start(long seed, int hosts, Duration tick) {
    LimitSimulation simulation = new LimitSimulation(seed, hosts, REGIONS, document(hosts), tick);
    simulation.setLatency(Duration.ofMillis(1), Duration.ofMillis(35));
    simulation.advance(Duration.ofSeconds(5));
    return simulation;
  }

  private static Function<SimulatedHost, Limits> limits(
      Approach approach, LimitSimulation simulation) {
    if (approach == Approach.SHARES) {
      return SimulatedHost::limits;
    }
    if (approach == Approach.STATIC) {
      return new StaticSplit(simulation.clock(), RATE, BURST, HOSTS)::of;
    }
    return new SingleOwner(simulation, RATE, BURST)::of;
  }

  private static AdmissionLog log(LimitSimulation simulation) {
    return new AdmissionLog(RATE, BURST, simulation.clock().nanoTime());
  }

  private static RequestLoad load(
      Approach approach, LimitSimulation simulation, long seed, AdmissionLog log) {
    return new RequestLoad(simulation, List.of("w0"), seed, log, limits(approach, simulation));
  }

  private static double[] evenWeights(int hosts) {
    double[] weights = new double[hosts];
    Arrays.fill(weights, 1);
    return weights;
  }

  private void add(
      Approach approach,
      String name,
      double value,
      String unit,
      BiFunction<String, Double, Figure> boundedFigure) {
    String fullName = "limits-" + name + "-" + approach.label;
    figures.add(
        approach == Approach.SHARES
            ? boundedFigure.apply(fullName, value)
            : Figure.info(fullName, value, unit));
  }

  private void recordExcess(Approach approach, AdmissionLog log) {
    if (approach == Approach.SHARES) {
      excess = Math.max(excess, log.excess());
    }
  }

  /** Measures refusals while 90% of the requests move to the next host every 5 s. */
  private void measureMovingCallers(Approach approach, long seed) {
    LimitSimulation simulation = start(seed, HOSTS, TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), LOAD_PER_SECOND, evenWeights(HOSTS));
    load.resetCounts();
    for (int host = 0; host < 2 * HOSTS; host++) {
      double[] weights = new double[HOSTS];
      Arrays.fill(weights, 0.1 / (HOSTS - 1));
      weights[host % HOSTS] = 0.9;
      load.run(Duration.ofSeconds(5), LOAD_PER_SECOND, weights);
    }
    add(
        approach,
        "uneven-refused",
        load.refusedFraction() * PERCENT,
        "%",
        (name, value) -> Figure.atMost(name, value, "%", 0));
    figures.add(Figure.info("limits-uneven-wait-" + approach.label, load.meanWaitMillis(), "ms"));
    recordExcess(approach, log);
  }

  /**
   * Measures refusals after the loss of the host with the largest effect: the coordinator of the
   * limit, or its owner. Its callers go to random other hosts, as entry advice directs them, or all
   * to one.
   */
  private void measureKill(Approach approach, long seed, boolean spread) {
    LimitSimulation simulation = start(seed, HOSTS, TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), LOAD_PER_SECOND, evenWeights(HOSTS));
    load.resetCounts();
    load.setSpread(spread);
    simulation.kill(approach == Approach.SHARES ? coordinatorIndex(simulation) : 0);
    load.run(Duration.ofSeconds(60), LOAD_PER_SECOND, evenWeights(HOSTS));
    add(
        approach,
        spread ? "kill-refused" : "kill-refused-one-neighbour",
        load.refusedFraction() * PERCENT,
        "%",
        (name, value) -> Figure.atMost(name, value, "%", 1));
    recordExcess(approach, log);
  }

  private static int coordinatorIndex(LimitSimulation simulation) {
    String limit = LimitSpec.ofWorkspace("w0");
    for (int i = 0; i < simulation.hosts().size(); i++) {
      var view = simulation.hosts().get(i).limits().view().get(limit);
      if (view != null && view.pool() != null) {
        return i;
      }
    }
    throw new IllegalStateException("no host coordinates the limit of workspace w0");
  }

  /** Stops the store for an hour and kills a host every 20 minutes, the coordinator first. */
  private void measureStoreOutage(Approach approach, long seed, boolean spread) {
    LimitSimulation simulation = start(seed, HOSTS, OUTAGE_TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), OUTAGE_LOAD_PER_SECOND, evenWeights(HOSTS));
    simulation.store().setDown(true);
    load.setSpread(spread);
    load.resetCounts();
    int firstKilled = approach == Approach.SHARES ? coordinatorIndex(simulation) : 0;
    double worstAdmittedFraction = 1;
    for (int minute = 0; minute < 60; minute++) {
      if (minute % 20 == 5) {
        simulation.kill((firstKilled + minute / 20) % HOSTS);
      }
      long offered = load.offered();
      long admitted = load.admitted();
      load.run(Duration.ofMinutes(1), OUTAGE_LOAD_PER_SECOND, evenWeights(HOSTS));
      worstAdmittedFraction =
          Math.min(
              worstAdmittedFraction,
              (load.admitted() - admitted) / (double) (load.offered() - offered));
    }
    String suffix = spread ? "" : "-one-neighbour";
    add(
        approach,
        "outage-refused" + suffix,
        load.refusedFraction() * PERCENT,
        "%",
        (name, value) -> Figure.atMost(name, value, "%", 1));
    figures.add(
        Figure.info(
            "limits-outage-worst-minute" + suffix + "-" + approach.label,
            worstAdmittedFraction * PERCENT,
            "%"));
    recordExcess(approach, log);
  }

  /** Measures messages and bytes of share exchanges at increasing numbers of hosts. */
  private void measureCosts(long seed) {
    double[] bytes = new double[FLEET_SIZES.length];
    double[] messages = new double[FLEET_SIZES.length];
    for (int i = 0; i < FLEET_SIZES.length; i++) {
      measureCostAtSize(seed, FLEET_SIZES[i], i, messages, bytes);
    }
    int last = FLEET_SIZES.length - 1;
    double addedHosts = FLEET_SIZES[last] - FLEET_SIZES[0];
    figures.add(
        Figure.info(
            "limits-messages-slope", (messages[last] - messages[0]) / addedHosts, "1/s/host"));
    figures.add(
        Figure.info("limits-bytes-slope", (bytes[last] - bytes[0]) / addedHosts, "B/s/host"));
  }

  private void measureCostAtSize(
      long seed, int hosts, int index, double[] messages, double[] bytes) {
    LimitSimulation simulation = start(seed, hosts, TICK);
    List<String> workspaces = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      workspaces.add("w" + i);
    }
    RequestLoad load =
        new RequestLoad(simulation, workspaces, seed, log(simulation), SimulatedHost::limits);
    load.run(Duration.ofSeconds(5), REQUESTS_PER_SECOND_AND_HOST * hosts, evenWeights(hosts));
    long[] bytesBefore = new long[hosts];
    long messagesBefore = 0;
    for (int i = 0; i < hosts; i++) {
      bytesBefore[i] = simulation.hosts().get(i).link().bytesSent();
      messagesBefore += simulation.hosts().get(i).link().messagesSent();
    }
    final long callsBefore = simulation.store().calls();
    load.run(COST_DURATION, REQUESTS_PER_SECOND_AND_HOST * hosts, evenWeights(hosts));
    long totalBytes = 0;
    long busiestBytes = 0;
    long messagesInRun = -messagesBefore;
    for (int i = 0; i < hosts; i++) {
      long hostBytes = simulation.hosts().get(i).link().bytesSent() - bytesBefore[i];
      totalBytes += hostBytes;
      busiestBytes = Math.max(busiestBytes, hostBytes);
      messagesInRun += simulation.hosts().get(i).link().messagesSent();
    }
    double seconds = COST_DURATION.toSeconds();
    messages[index] = messagesInRun / seconds / hosts;
    bytes[index] = totalBytes / seconds / hosts;
    String sizeSuffix = "-" + hosts + "-hosts";
    figures.add(Figure.info("limits-messages" + sizeSuffix, messages[index], "1/s/host"));
    figures.add(Figure.info("limits-bytes" + sizeSuffix, bytes[index], "B/s/host"));
    figures.add(
        Figure.atMost("limits-bytes-busiest" + sizeSuffix, busiestBytes / seconds, "B/s", 22_000));
    figures.add(
        Figure.info(
            "limits-store-calls" + sizeSuffix,
            (simulation.store().calls() - callsBefore) / seconds,
            "1/s"));
  }
}
