package verbenahatch.measure;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.FleetNode;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.model.KeyHash;

/**
 * Measures what the pulse costs at 9, 18, 36 and 72 hosts, and how long configurations and
 * withdrawals take to be in force at the slowest host.
 *
 * <p>All hosts run on one thread under manual time. The CPU figure includes the fake network, so it
 * is an upper bound of the cost of the control code without that of the real link.
 */
public final class FleetMeasurement implements Measurement {

  private static final int[] SIZES = {9, 18, 36, 72};
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration LENGTH = Duration.ofSeconds(30);
  private static final Duration LIMIT = Duration.ofSeconds(20);
  private static final int CHANGES = 20;

  /** Messages lost while withdrawals spread; without loss all hosts know before acceptance. */
  private static final double LOSS = 0.1;

  /** Budget of one host for control, from the target size of the design. */
  private static final double MAX_CORE_PERCENT = 4.4;

  private static final double MAX_BYTES_PER_SECOND = 22_000;
  private static final double MAX_CONFIGURATION_MILLIS = 6_000;
  private static final double MAX_WITHDRAWAL_MILLIS = 3_000;

  /** Figures of one size. */
  private record Cost(double messages, double bytes, double most, double cpu, double storeCalls) {}

  /** Creates the measurement. */
  public FleetMeasurement() {}

  @Override
  public String name() {
    return "fleet";
  }

  @Override
  public List<Figure> run(long seed) {
    List<Figure> figures = new ArrayList<>();
    List<Cost> costs = new ArrayList<>();
    for (int size : SIZES) {
      SimulatedFleet fleet = new SimulatedFleet(size, CHANGES, seed);
      fleet.run(WARM_UP);
      Cost cost = measure(fleet, size);
      costs.add(cost);
      String at = "-" + size + "-hosts";
      figures.add(Figure.info("pulse-messages" + at, cost.messages, "messages/s/host"));
      figures.add(
          Figure.atMost("pulse-bytes" + at, cost.bytes, "bytes/s/host", MAX_BYTES_PER_SECOND));
      figures.add(
          Figure.atMost("pulse-bytes-most" + at, cost.most, "bytes/s/host", MAX_BYTES_PER_SECOND));
      figures.add(Figure.atMost("pulse-cpu" + at, cost.cpu, "%core/host", MAX_CORE_PERCENT));
      figures.add(Figure.info("fleet-store-calls" + at, cost.storeCalls, "calls/s"));
      Random random = new Random(seed);
      figures.add(
          Figure.atMost(
              "configuration-in-force" + at,
              configuration(fleet, random),
              "ms",
              MAX_CONFIGURATION_MILLIS));
      addWithdrawals(figures, fleet, random, at);
    }
    addSlopes(figures, costs);
    return figures;
  }

  private static Cost measure(SimulatedFleet fleet, int size) {
    var threads = ManagementFactory.getThreadMXBean();
    final long messages = fleet.messages();
    final long bytes = fleet.bytes();
    final List<Long> before = fleet.bytesByHost();
    final long calls = fleet.storeCalls();
    final long cpu = threads.getCurrentThreadCpuTime();
    fleet.run(LENGTH);
    long cpuNanos = threads.getCurrentThreadCpuTime() - cpu;
    List<Long> after = fleet.bytesByHost();
    long most = 0;
    for (int i = 0; i < size; i++) {
      most = Math.max(most, after.get(i) - before.get(i));
    }
    double seconds = LENGTH.toSeconds();
    return new Cost(
        (fleet.messages() - messages) / seconds / size,
        (fleet.bytes() - bytes) / seconds / size,
        most / seconds,
        100.0 * cpuNanos / LENGTH.toNanos() / size,
        (fleet.storeCalls() - calls) / seconds);
  }

  private static double configuration(SimulatedFleet fleet, Random random) {
    double slowest = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.run(Duration.ofMillis(random.nextInt(1_000)));
      long generation = 2 + i;
      fleet.writeDocument(generation);
      slowest =
          Math.max(
              slowest,
              fleet.until(
                  LIMIT, () -> fleet.nodes().stream().allMatch(node -> holds(node, generation))));
    }
    return slowest;
  }

  private static boolean holds(FleetNode node, long generation) {
    return node.config().document().filter(d -> d.generation() >= generation).isPresent();
  }

  private static void addWithdrawals(
      List<Figure> figures, SimulatedFleet fleet, Random random, String at) {
    fleet.setLoss(LOSS);
    double accepted = 0;
    double slowest = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.run(Duration.ofMillis(random.nextInt(1_000)));
      String key = SimulatedFleet.key(i);
      Fact fact = new Fact.KeyWithdrawn(SimulatedFleet.ENV, KeyHash.of(key));
      FleetNode accepting = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
      var spread = accepting.facts().publish(fact, LIMIT);
      accepted = Math.max(accepted, fleet.until(LIMIT, spread::isDone));
      double late =
          fleet.until(LIMIT, () -> fleet.nodes().stream().allMatch(node -> isWithdrawn(node, key)));
      slowest = Math.max(slowest, late);
    }
    long epoch = fleet.nodes().stream().mapToLong(FleetNode::membersEpoch).max().orElse(0);
    figures.add(Figure.atMost("hosts-fenced-10%-loss" + at, epoch - 1, "changes", 0));
    figures.add(Figure.info("withdrawal-accepted-10%-loss" + at, accepted, "ms"));
    figures.add(
        Figure.atMost("withdrawal-in-force-10%-loss" + at, slowest, "ms", MAX_WITHDRAWAL_MILLIS));
  }

  private static boolean isWithdrawn(FleetNode node, String key) {
    return node.keys().check(key) instanceof KeyCheck.Withdrawn;
  }

  /** Adds slopes per host, apart for sizes below and above the threshold of aggregators. */
  private static void addSlopes(List<Figure> figures, List<Cost> costs) {
    for (int i = 0; i + 1 < SIZES.length; i += 2) {
      Cost small = costs.get(i);
      Cost large = costs.get(i + 1);
      int hosts = SIZES[i + 1] - SIZES[i];
      String between = "-slope-" + SIZES[i] + "-" + SIZES[i + 1] + "-hosts";
      figures.add(
          Figure.info("pulse-bytes" + between, (large.bytes - small.bytes) / hosts, "bytes/s"));
      figures.add(
          Figure.info("pulse-bytes-most" + between, (large.most - small.most) / hosts, "bytes/s"));
      figures.add(Figure.info("pulse-cpu" + between, (large.cpu - small.cpu) / hosts, "%core"));
    }
    double calls = costs.get(SIZES.length - 1).storeCalls / costs.get(0).storeCalls;
    // Store calls must not grow in proportion to hosts; the zones are the same at every size.
    figures.add(Figure.atMost("fleet-store-calls-ratio-72-to-9-hosts", calls, "ratio", 1.5));
  }
}
