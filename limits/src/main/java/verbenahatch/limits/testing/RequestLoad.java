package verbenahatch.limits.testing;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/**
 * Sends requests of workspaces to the hosts of a simulation and counts the decisions.
 *
 * <p>Arrivals are random and independent. A request to a host that is not running goes to a running
 * one: the next one, or a random one. Not thread-safe.
 */
public final class RequestLoad {

  private static final long STEP_MICROS = 1_000;
  private static final long REQUEST_TIMEOUT_NANOS = 2_000_000_000L;

  private final LimitSimulation simulation;
  private final List<String> workspaces;
  private final Function<SimulatedHost, Limits> limits;
  private final Random random;
  private final AdmissionLog log;
  private long offered;
  private long admitted;
  private long overLimit;
  private long notFresh;
  private long totalWaitNanos;
  private boolean spreadsRandomly;

  /**
   * Creates a load of one workspace.
   *
   * @param simulation the hosts
   * @param workspace the name of the workspace
   * @param seed the seed of the arrivals
   * @param log records the admissions
   */
  public RequestLoad(LimitSimulation simulation, String workspace, long seed, AdmissionLog log) {
    this(simulation, List.of(workspace), seed, log, SimulatedHost::limits);
  }

  /**
   * Creates a load that several workspaces share evenly.
   *
   * @param simulation the hosts
   * @param workspaces the names of the workspaces
   * @param seed the seed of the arrivals
   * @param log records the admissions of all of them
   * @param limits returns the limits that decide at a host
   */
  public RequestLoad(
      LimitSimulation simulation,
      List<String> workspaces,
      long seed,
      AdmissionLog log,
      Function<SimulatedHost, Limits> limits) {
    this.simulation = simulation;
    this.workspaces = workspaces;
    this.limits = limits;
    this.random = new Random(seed);
    this.log = log;
  }

  /**
   * Advances the simulation and sends requests.
   *
   * @param duration the simulated time
   * @param perSecond the mean number of requests per second over all hosts
   * @param weights the relative load of each host; the weights need not add up to 1
   */
  public void run(Duration duration, double perSecond, double... weights) {
    long endNanos = simulation.clock().nanoTime() + duration.toNanos();
    double nextArrivalSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
    double elapsedSeconds = 0;
    while (simulation.clock().nanoTime() < endNanos) {
      simulation.advance(Duration.ofNanos(STEP_MICROS * 1_000));
      elapsedSeconds += STEP_MICROS / 1e6;
      while (nextArrivalSeconds <= elapsedSeconds) {
        send(pick(weights));
        nextArrivalSeconds += -Math.log(1 - random.nextDouble()) / perSecond;
      }
    }
  }

  private int pick(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double position = random.nextDouble() * sum;
    int chosen = 0;
    while (chosen < weights.length - 1 && position >= weights[chosen]) {
      position -= weights[chosen];
      chosen++;
    }
    return chosen;
  }

  private void send(int chosen) {
    int hosts = simulation.hosts().size();
    for (int i = 0; i < hosts * hosts; i++) {
      int index = spreadsRandomly && i > 0 ? random.nextInt(hosts) : (chosen + i) % hosts;
      SimulatedHost host = simulation.hosts().get(index);
      if (host.isRunning()) {
        offered++;
        decide(limits.apply(host));
        return;
      }
    }
  }

  private void decide(Limits decider) {
    String workspace = workspaces.get(random.nextInt(workspaces.size()));
    long startNanos = simulation.clock().nanoTime();
    CompletableFuture<Admission> decision =
        decider.admit(workspace, startNanos + REQUEST_TIMEOUT_NANOS);
    decision.thenAccept(admission -> count(admission, startNanos));
  }

  private void count(Admission admission, long startNanos) {
    if (admission instanceof Admission.Admitted) {
      admitted++;
      log.admit(1, simulation.clock().nanoTime());
      totalWaitNanos += simulation.clock().nanoTime() - startNanos;
    } else if (admission instanceof Admission.NotFresh) {
      notFresh++;
    } else {
      overLimit++;
    }
  }

  /**
   * Returns the number of requests sent since the counts were reset.
   *
   * @return the number
   */
  public long offered() {
    return offered;
  }

  /**
   * Returns the number of requests admitted since the counts were reset.
   *
   * @return the number
   */
  public long admitted() {
    return admitted;
  }

  /**
   * Returns the number of requests refused because the limit was used up or unknown.
   *
   * @return the number
   */
  public long overLimit() {
    return overLimit;
  }

  /**
   * Returns the number of requests refused because the host was not fresh.
   *
   * @return the number
   */
  public long notFresh() {
    return notFresh;
  }

  /**
   * Returns the mean time that admitted requests waited for the decision.
   *
   * @return the mean wait in milliseconds, 0 if no request was admitted
   */
  public double meanWaitMillis() {
    return admitted == 0 ? 0 : totalWaitNanos / 1e6 / admitted;
  }

  /**
   * Returns the fraction of the requests that were refused.
   *
   * @return the fraction, from 0 to 1; requests without a decision yet count as admitted
   */
  public double refusedFraction() {
    return offered == 0 ? 0 : (double) (overLimit + notFresh) / offered;
  }

  /**
   * Sets where requests to a host that is not running go.
   *
   * @param spread true for a random host, as with entry advice that names several hosts; false for
   *     the next host
   */
  public void setSpread(boolean spread) {
    spreadsRandomly = spread;
  }

  /** Resets the counts, but not the log, to zero. */
  public void resetCounts() {
    offered = 0;
    admitted = 0;
    overLimit = 0;
    notFresh = 0;
    totalWaitNanos = 0;
  }
}
