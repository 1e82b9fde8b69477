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
 * Measures shares of a limit on simulated hosts and manual time: refusals within the rate while
 * callers move, after a kill and through an outage of the store, excess, messages and bytes.
 */
public final class LimitsMeasurement implements Measurement {

  private static final int HOSTS = 9;
  private static final int REGIONS = 3;
  private static final double RATE = 200;
  private static final double BURST = 100;
  private static final double LOAD = 0.8 * RATE;
  private static final double OUTAGE_LOAD = 0.3 * RATE;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final Duration OUTAGE_TICK = Duration.ofMillis(50);
  private static final int[] SIZES = {9, 18, 36, 72};
  private static final int WORKSPACES = 8;
  private static final double REQUESTS_PER_HOST = 30;
  private static final Duration COST_SPAN = Duration.ofSeconds(20);
  private static final double PERCENT = 100;

  private final List<Figure> figures = new ArrayList<>();
  private double excess;

  /** One way to decide about requests. */
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
      uneven(approach, seed);
      kill(approach, seed, true);
      kill(approach, seed, false);
      outage(approach, seed, true);
      outage(approach, seed, false);
    }
    figures.add(Figure.atMost("limits-excess", excess, "requests", 0));
    cost(seed);
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

  private static double[] even(int hosts) {
    double[] weights = new double[hosts];
    Arrays.fill(weights, 1);
    return weights;
  }

  private void add(
      Approach approach,
      String name,
      double value,
      String unit,
      BiFunction<String, Double, Figure> target) {
    String full = "limits-" + name + "-" + approach.label;
    figures.add(
        approach == Approach.SHARES ? target.apply(full, value) : Figure.info(full, value, unit));
  }

  private void note(Approach approach, AdmissionLog log) {
    if (approach == Approach.SHARES) {
      excess = Math.max(excess, log.excess());
    }
  }

  /** Moves 90% of the callers to the next host every 5 s. */
  private void uneven(Approach approach, long seed) {
    LimitSimulation simulation = start(seed, HOSTS, TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), LOAD, even(HOSTS));
    load.resetCounts();
    for (int host = 0; host < 2 * HOSTS; host++) {
      double[] weights = new double[HOSTS];
      Arrays.fill(weights, 0.1 / (HOSTS - 1));
      weights[host % HOSTS] = 0.9;
      load.run(Duration.ofSeconds(5), LOAD, weights);
    }
    add(
        approach,
        "uneven-refused",
        load.refusedFraction() * PERCENT,
        "%",
        (name, value) -> Figure.atMost(name, value, "%", 0));
    figures.add(Figure.info("limits-uneven-wait-" + approach.label, load.meanWaitMillis(), "ms"));
    note(approach, log);
  }

  /**
   * Kills the host that hurts most: the home of the limit, or its owner. Its callers go to the
   * other hosts at random, as entry advice has it, or all to one.
   */
  private void kill(Approach approach, long seed, boolean spread) {
    LimitSimulation simulation = start(seed, HOSTS, TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), LOAD, even(HOSTS));
    load.resetCounts();
    load.setSpread(spread);
    simulation.kill(approach == Approach.SHARES ? home(simulation) : 0);
    load.run(Duration.ofSeconds(60), LOAD, even(HOSTS));
    add(
        approach,
        spread ? "kill-refused" : "kill-refused-one-neighbour",
        load.refusedFraction() * PERCENT,
        "%",
        (name, value) -> Figure.atMost(name, value, "%", 1));
    note(approach, log);
  }

  private static int home(LimitSimulation simulation) {
    String limit = LimitSpec.ofWorkspace("w0");
    for (int i = 0; i < simulation.hosts().size(); i++) {
      var view = simulation.hosts().get(i).limits().view().get(limit);
      if (view != null && view.pool() != null) {
        return i;
      }
    }
    throw new IllegalStateException("no home");
  }

  /** Stops the store for an hour and kills a host every 20 minutes, the home first. */
  private void outage(Approach approach, long seed, boolean spread) {
    LimitSimulation simulation = start(seed, HOSTS, OUTAGE_TICK);
    AdmissionLog log = log(simulation);
    RequestLoad load = load(approach, simulation, seed, log);
    load.run(Duration.ofSeconds(10), OUTAGE_LOAD, even(HOSTS));
    simulation.store().setDown(true);
    load.setSpread(spread);
    load.resetCounts();
    int first = approach == Approach.SHARES ? home(simulation) : 0;
    double worst = 1;
    for (int minute = 0; minute < 60; minute++) {
      if (minute % 20 == 5) {
        simulation.kill((first + minute / 20) % HOSTS);
      }
      long offered = load.offered();
      long admitted = load.admitted();
      load.run(Duration.ofMinutes(1), OUTAGE_LOAD, even(HOSTS));
      worst = Math.min(worst, (load.admitted() - admitted) / (double) (load.offered() - offered));
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
            "limits-outage-worst-minute" + suffix + "-" + approach.label, worst * PERCENT, "%"));
    note(approach, log);
  }

  /** Counts messages and bytes of shares at growing numbers of hosts. */
  private void cost(long seed) {
    double[] bytes = new double[SIZES.length];
    double[] messages = new double[SIZES.length];
    for (int i = 0; i < SIZES.length; i++) {
      costAt(seed, SIZES[i], i, messages, bytes);
    }
    int last = SIZES.length - 1;
    double span = SIZES[last] - SIZES[0];
    figures.add(
        Figure.info("limits-messages-slope", (messages[last] - messages[0]) / span, "1/s/host"));
    figures.add(Figure.info("limits-bytes-slope", (bytes[last] - bytes[0]) / span, "B/s/host"));
  }

  private void costAt(long seed, int hosts, int index, double[] messages, double[] bytes) {
    LimitSimulation simulation = start(seed, hosts, TICK);
    List<String> workspaces = new ArrayList<>();
    for (int i = 0; i < WORKSPACES; i++) {
      workspaces.add("w" + i);
    }
    RequestLoad load =
        new RequestLoad(simulation, workspaces, seed, log(simulation), SimulatedHost::limits);
    load.run(Duration.ofSeconds(5), REQUESTS_PER_HOST * hosts, even(hosts));
    long[] before = new long[hosts];
    long messagesBefore = 0;
    for (int i = 0; i < hosts; i++) {
      before[i] = simulation.hosts().get(i).link().bytesSent();
      messagesBefore += simulation.hosts().get(i).link().messagesSent();
    }
    final long callsBefore = simulation.store().calls();
    load.run(COST_SPAN, REQUESTS_PER_HOST * hosts, even(hosts));
    long sum = 0;
    long most = 0;
    long sent = -messagesBefore;
    for (int i = 0; i < hosts; i++) {
      long used = simulation.hosts().get(i).link().bytesSent() - before[i];
      sum += used;
      most = Math.max(most, used);
      sent += simulation.hosts().get(i).link().messagesSent();
    }
    double seconds = COST_SPAN.toSeconds();
    messages[index] = sent / seconds / hosts;
    bytes[index] = sum / seconds / hosts;
    String at = "-" + hosts + "-hosts";
    figures.add(Figure.info("limits-messages" + at, messages[index], "1/s/host"));
    figures.add(Figure.info("limits-bytes" + at, bytes[index], "B/s/host"));
    figures.add(Figure.atMost("limits-bytes-busiest" + at, most / seconds, "B/s", 22_000));
    figures.add(
        Figure.info(
            "limits-store-calls" + at,
            (simulation.store().calls() - callsBefore) / seconds,
            "1/s"));
  }
}
