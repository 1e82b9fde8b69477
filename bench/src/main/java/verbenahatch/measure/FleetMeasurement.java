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
 * Measures the cost of fleet heartbeats at 9, 18, 36 and 72 hosts, and the time until
 * configurations and key withdrawals are in force at the slowest host.
 *
 * <p>All hosts run on one thread in virtual time. The CPU figure includes the simulated network but
 * not the real link, so it is an upper bound of the cost of the control code alone.
 */
public final class FleetMeasurement implements Measurement {

  private static final int[] FLEET_SIZES = {9, 18, 36, 72};
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(30);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int CHANGES = 20;

  /** Message loss during withdrawals; without it, all hosts know of one before it is accepted. */
  private static final double LOSS_PROBABILITY = 0.1;

  /** Budget of one host for control work, from the target size of the design. */
  private static final double MAX_CORE_PERCENT = 4.4;

  private static final double MAX_BYTES_PER_SECOND = 22_000;
  private static final double MAX_CONFIGURATION_MILLIS = 6_000;
  private static final double MAX_WITHDRAWAL_MILLIS = 3_000;

  /**
   * Cost at one fleet size.
   *
   * @param messages the messages per second and host
   * @param bytes the bytes per second and host
   * @param busiestBytes the bytes per second of the host that sends most
   * @param cpu the processor time per host, in percent of a core
   * @param storeCalls the store calls per second of the whole fleet
   */
  private record Cost(
      double messages, double bytes, double busiestBytes, double cpu, double storeCalls) {}

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
    for (int size : FLEET_SIZES) {
      SimulatedFleet fleet = new SimulatedFleet(size, CHANGES, seed);
      fleet.run(WARM_UP);
      Cost cost = measure(fleet, size);
      costs.add(cost);
      String sizeSuffix = "-" + size + "-hosts";
      figures.add(Figure.info("pulse-messages" + sizeSuffix, cost.messages, "messages/s/host"));
      figures.add(
          Figure.atMost(
              "pulse-bytes" + sizeSuffix, cost.bytes, "bytes/s/host", MAX_BYTES_PER_SECOND));
      figures.add(
          Figure.atMost(
              "pulse-bytes-most" + sizeSuffix,
              cost.busiestBytes,
              "bytes/s/host",
              MAX_BYTES_PER_SECOND));
      figures.add(
          Figure.atMost("pulse-cpu" + sizeSuffix, cost.cpu, "%core/host", MAX_CORE_PERCENT));
      figures.add(Figure.info("fleet-store-calls" + sizeSuffix, cost.storeCalls, "calls/s"));
      Random random = new Random(seed);
      figures.add(
          Figure.atMost(
              "configuration-in-force" + sizeSuffix,
              slowestConfigurationMillis(fleet, random),
              "ms",
              MAX_CONFIGURATION_MILLIS));
      addWithdrawals(figures, fleet, random, sizeSuffix);
    }
    addSlopes(figures, costs);
    return figures;
  }

  private static Cost measure(SimulatedFleet fleet, int size) {
    var threads = ManagementFactory.getThreadMXBean();
    final long messagesBefore = fleet.messages();
    final long fleetBytesBefore = fleet.bytes();
    final List<Long> bytesByHostBefore = fleet.bytesByHost();
    final long callsBefore = fleet.storeCalls();
    final long cpuNanosBefore = threads.getCurrentThreadCpuTime();
    fleet.run(MEASURED_TIME);
    long cpuNanos = threads.getCurrentThreadCpuTime() - cpuNanosBefore;
    List<Long> bytesByHostAfter = fleet.bytesByHost();
    long busiestBytes = 0;
    for (int i = 0; i < size; i++) {
      busiestBytes = Math.max(busiestBytes, bytesByHostAfter.get(i) - bytesByHostBefore.get(i));
    }
    double seconds = MEASURED_TIME.toSeconds();
    return new Cost(
        (fleet.messages() - messagesBefore) / seconds / size,
        (fleet.bytes() - fleetBytesBefore) / seconds / size,
        busiestBytes / seconds,
        100.0 * cpuNanos / MEASURED_TIME.toNanos() / size,
        (fleet.storeCalls() - callsBefore) / seconds);
  }

  private static double slowestConfigurationMillis(SimulatedFleet fleet, Random random) {
    double slowestMillis = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.run(Duration.ofMillis(random.nextInt(1_000)));
      long generation = 2 + i;
      fleet.writeDocument(generation);
      slowestMillis =
          Math.max(
              slowestMillis,
              fleet.millisUntil(
                  TIMEOUT,
                  () -> fleet.nodes().stream().allMatch(node -> hasGeneration(node, generation))));
    }
    return slowestMillis;
  }

  private static boolean hasGeneration(FleetNode node, long generation) {
    return node.config().document().filter(d -> d.generation() >= generation).isPresent();
  }

  private static void addWithdrawals(
      List<Figure> figures, SimulatedFleet fleet, Random random, String sizeSuffix) {
    fleet.setLoss(LOSS_PROBABILITY);
    double acceptedMillis = 0;
    double slowestMillis = 0;
    for (int i = 0; i < CHANGES; i++) {
      fleet.run(Duration.ofMillis(random.nextInt(1_000)));
      String key = SimulatedFleet.key(i);
      Fact fact = new Fact.KeyWithdrawn(SimulatedFleet.ENVIRONMENT, KeyHash.of(key));
      FleetNode acceptingNode = fleet.nodes().get(random.nextInt(fleet.nodes().size()));
      var publication = acceptingNode.facts().publish(fact, TIMEOUT);
      acceptedMillis = Math.max(acceptedMillis, fleet.millisUntil(TIMEOUT, publication::isDone));
      double inForceMillis =
          fleet.millisUntil(
              TIMEOUT, () -> fleet.nodes().stream().allMatch(node -> isWithdrawn(node, key)));
      slowestMillis = Math.max(slowestMillis, inForceMillis);
    }
    long epoch = fleet.nodes().stream().mapToLong(FleetNode::membersEpoch).max().orElse(0);
    figures.add(Figure.atMost("hosts-fenced-10%-loss" + sizeSuffix, epoch - 1, "changes", 0));
    figures.add(Figure.info("withdrawal-accepted-10%-loss" + sizeSuffix, acceptedMillis, "ms"));
    figures.add(
        Figure.atMost(
            "withdrawal-in-force-10%-loss" + sizeSuffix,
            slowestMillis,
            "ms",
            MAX_WITHDRAWAL_MILLIS));
  }

  private static boolean isWithdrawn(FleetNode node, String key) {
    return node.keys().check(key) instanceof KeyCheck.Withdrawn;
  }

  /**
   * Adds the cost of each additional host, separately for sizes below and above the size from which
   * the fleet uses aggregators.
   */
  private static void addSlopes(List<Figure> figures, List<Cost> costs) {
    for (int i = 0; i + 1 < FLEET_SIZES.length; i += 2) {
      Cost small = costs.get(i);
      Cost large = costs.get(i + 1);
      int hosts = FLEET_SIZES[i + 1] - FLEET_SIZES[i];
      String rangeSuffix = "-slope-" + FLEET_SIZES[i] + "-" + FLEET_SIZES[i + 1] + "-hosts";
      figures.add(
          Figure.info("pulse-bytes" + rangeSuffix, (large.bytes - small.bytes) / hosts, "bytes/s"));
      figures.add(
          Figure.info(
              "pulse-bytes-most" + rangeSuffix,
              (large.busiestBytes - small.busiestBytes) / hosts,
              "bytes/s"));
      figures.add(Figure.info("pulse-cpu" + rangeSuffix, (large.cpu - small.cpu) / hosts, "%core"));
    }
    double callRatio = costs.get(FLEET_SIZES.length - 1).storeCalls / costs.get(0).storeCalls;
    // Store calls must not grow in proportion to hosts; the number of zones is the same throughout.
    figures.add(Figure.atMost("fleet-store-calls-ratio-72-to-9-hosts", callRatio, "ratio", 1.5));
  }
}
