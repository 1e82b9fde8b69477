package verbenahatch.limits.testing;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/**
 * Sends requests of one workspace to the hosts of a simulation and counts the decisions.
 *
 * <p>Arrivals are random and independent. A request to a host that does not run goes to another one
 * that does: the next, or a random one. Not thread-safe.
 */
public final class RequestLoad {

  private static final long STEP_MICROS = 1_000;
  private static final long PATIENCE_NANOS = 2_000_000_000L;

  private final LimitSimulation simulation;
  private final List<String> workspaces;
  private final Function<SimulatedHost, Limits> limits;
  private final Random random;
  private final AdmissionLog log;
  private long offered;
  private long admitted;
  private long overLimit;
  private long notFresh;
  private long waited;
  private boolean spreads;

  /**
   * Creates a load.
   *
   * @param simulation the hosts
   * @param workspace the workspace that sends
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
   * @param workspaces the workspaces that send
   * @param seed the seed of the arrivals
   * @param log records the admissions of all of them
   * @param limits returns what decides at a host
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
   * Sends requests while the time passes.
   *
   * @param span how long
   * @param perSecond the mean number of requests per second over all hosts
   * @param weights the part of each host; they need not add up to 1
   */
  public void run(Duration span, double perSecond, double... weights) {
    long end = simulation.clock().nanoTime() + span.toNanos();
    double next = -Math.log(1 - random.nextDouble()) / perSecond;
    double elapsed = 0;
    while (simulation.clock().nanoTime() < end) {
      simulation.advance(Duration.ofNanos(STEP_MICROS * 1_000));
      elapsed += STEP_MICROS / 1e6;
      while (next <= elapsed) {
        send(pick(weights));
        next += -Math.log(1 - random.nextDouble()) / perSecond;
      }
    }
  }

  private int pick(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double at = random.nextDouble() * sum;
    int chosen = 0;
    while (chosen < weights.length - 1 && at >= weights[chosen]) {
      at -= weights[chosen];
      chosen++;
    }
    return chosen;
  }

  private void send(int chosen) {
    int hosts = simulation.hosts().size();
    for (int i = 0; i < hosts * hosts; i++) {
      int index = spreads && i > 0 ? random.nextInt(hosts) : (chosen + i) % hosts;
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
    long start = simulation.clock().nanoTime();
    CompletableFuture<Admission> decision = decider.admit(workspace, start + PATIENCE_NANOS);
    decision.thenAccept(admission -> count(admission, start));
  }

  private void count(Admission admission, long start) {
    if (admission instanceof Admission.Admitted) {
      admitted++;
      log.admit(1, simulation.clock().nanoTime());
      waited += simulation.clock().nanoTime() - start;
    } else if (admission instanceof Admission.NotFresh) {
      notFresh++;
    } else {
      overLimit++;
    }
  }

  /**
   * Returns the requests sent so far.
   *
   * @return the number
   */
  public long offered() {
    return offered;
  }

  /**
   * Returns the requests admitted so far.
   *
   * @return the number
   */
  public long admitted() {
    return admitted;
  }

  /**
   * Returns the requests refused because the limit was used up.
   *
   * @return the number
   */
  public long overLimit() {
    return overLimit;
  }

  /**
   * Returns the requests refused because the host was not fresh.
   *
   * @return the number
   */
  public long notFresh() {
    return notFresh;
  }

  /**
   * Returns how long admitted requests waited for the decision, on average.
   *
   * @return milliseconds
   */
  public double meanWaitMillis() {
    return admitted == 0 ? 0 : waited / 1e6 / admitted;
  }

  /**
   * Returns the part of the requests that was refused.
   *
   * @return between 0 and 1; requests without a decision yet count as admitted
   */
  public double refusedFraction() {
    return offered == 0 ? 0 : (double) (overLimit + notFresh) / offered;
  }

  /**
   * Chooses where callers of a lost host go.
   *
   * @param spread true for a random host, as with entry advice that names several; false for the
   *     next one
   */
  public void setSpread(boolean spread) {
    spreads = spread;
  }

  /** Sets the counts, but not the log, back to zero. */
  public void resetCounts() {
    offered = 0;
    admitted = 0;
    overLimit = 0;
    notFresh = 0;
    waited = 0;
  }
}
