package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.IntUnaryOperator;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.routing.FairQueue;
import verbenahatch.routing.OutlierEjector;
import verbenahatch.routing.PowerOfTwoChooser;
import verbenahatch.routing.SlotQuota;
import verbenahatch.routing.TargetState;

/**
 * Simulates callers, hosts and targets of one region in virtual time.
 *
 * <p>Targets have slots and a short queue, and shed further requests. Load reports arrive with each
 * response and once a second. The region's capacity counts as if it were allocated exactly.
 */
final class Simulation {

  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The queue wait that the gateway allows requests that take a few milliseconds. */
  private static final long MAX_QUEUE_WAIT_NANOS = 250_000_000L;

  private static final int MAX_QUEUED_PER_HOST = 2_000;

  private final Plan plan;
  private final RandomGenerator random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final OutlierEjector ejector = new OutlierEjector();
  private final Map<String, Tally> tallies = new TreeMap<>();
  private long nowNanos;
  private int inFlight;
  private int nextTarget;
  private long sent;
  private long sentToFull;

  /** Ways to choose targets. */
  enum Policy {
    /** The production classes: best of two, slot quotas, the region's capacity, the fair queue. */
    SYSTEM,
    /** Each target in turn, without looking at load. */
    ROUND_ROBIN,
    /** Any target, without looking at load. */
    RANDOM
  }

  /**
   * Describes a run.
   *
   * @param policy the way to choose targets
   * @param hosts the number of entry hosts
   * @param targets the number of targets
   * @param slots the slots of each target
   * @param workMillis the mean time that a target takes for a request, in milliseconds
   * @param slowTargets the number of targets that take three times as long
   * @param deadlineMillis the time from arrival after which a response does not count, in
   *     milliseconds
   * @param rates the offered rate by workspace, in requests per second
   * @param limits the bought rate by workspace, in requests per second; empty for no limits
   * @param seconds the simulated time, in seconds; the first tenth is not counted
   */
  record Plan(
      Policy policy,
      int hosts,
      int targets,
      int slots,
      double workMillis,
      int slowTargets,
      long deadlineMillis,
      Map<String, Double> rates,
      Map<String, Double> limits,
      int seconds) {

    /** Returns the requests per second that all targets together can execute. */
    double capacity() {
      double targetEquivalents = targets - slowTargets + slowTargets / 3.0;
      return targetEquivalents * slots * 1_000 / workMillis;
    }
  }

  /** Counts the outcomes of the requests of one workspace. */
  static final class Tally {
    final Histogram latency = new Histogram(60 * NANOS_PER_SECOND, 3);
    long offered;
    long onTime;

    double success() {
      return offered == 0 ? 1 : onTime / (double) offered;
    }

    double p99Millis() {
      return latency.getValueAtPercentile(99) / 1e6;
    }
  }

  private record Event(long atNanos, Runnable action) {}

  private record Request(String workspace, long arrivalNanos, long deadlineNanos, int host) {}

  private static final class Host {
    final List<TargetState> states = new ArrayList<>();
    final FairQueue<Request> queue = new FairQueue<>(MAX_QUEUED_PER_HOST, NANOS_PER_MILLI);
  }

  private static final class SimulatedTarget {
    final List<Runnable> waitingRequests = new ArrayList<>();
    int running;
    double latencyFactor = 1;
  }

  Simulation(Plan plan, RandomGenerator random) {
    this.plan = plan;
    this.random = random;
    for (int i = 0; i < plan.targets(); i++) {
      SimulatedTarget target = new SimulatedTarget();
      target.latencyFactor = i < plan.slowTargets() ? 3 : 1;
      targets.add(target);
    }
    for (int h = 0; h < plan.hosts(); h++) {
      Host host = new Host();
      for (int i = 0; i < plan.targets(); i++) {
        Target target = new Target("t" + i, "r", "z", "127.0.0.1", 1, "v1", plan.slots(), 330);
        TargetState state = new TargetState(target, 0);
        state.skipSlowStart();
        host.states.add(state);
      }
      SlotQuota.assign(host.states, h, plan.hosts());
      hosts.add(host);
    }
  }

  /** Runs the simulation to its end and returns the counts by workspace. */
  Map<String, Tally> run() {
    for (String workspace : plan.rates().keySet()) {
      tallies.put(workspace, new Tally());
      double limit = plan.limits().getOrDefault(workspace, Double.MAX_VALUE);
      scheduleArrival(
          workspace, plan.rates().getOrDefault(workspace, 0.0), new double[] {limit}, limit, 0);
    }
    scheduleLoadReport();
    long endNanos = plan.seconds() * NANOS_PER_SECOND;
    while (!events.isEmpty() && events.peek().atNanos() < endNanos) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.action().run();
    }
    return tallies;
  }

  /** Returns the fraction, from 0 to 1, of requests sent to a target whose slots were all taken. */
  double sentToFull() {
    return sent == 0 ? 0 : sentToFull / (double) sent;
  }

  private void schedule(long nanos, Runnable action) {
    events.add(new Event(nanos, action));
  }

  private void scheduleArrival(
      String workspace, double rate, double[] tokens, double limit, long previousNanos) {
    long arrivalTimeNanos =
        previousNanos + (long) (-Math.log(1 - random.nextDouble()) / rate * NANOS_PER_SECOND);
    schedule(
        arrivalTimeNanos,
        () -> {
          // The burst is one second of the bought rate.
          tokens[0] =
              Math.min(
                  limit, tokens[0] + limit * (arrivalTimeNanos - previousNanos) / NANOS_PER_SECOND);
          boolean counted = arrivalTimeNanos > plan.seconds() * NANOS_PER_SECOND / 10;
          tally(workspace).offered += counted ? 1 : 0;
          if (tokens[0] >= 1) {
            tokens[0] -= 1;
            int host = random.nextInt(plan.hosts());
            dispatch(
                new Request(
                    workspace,
                    arrivalTimeNanos,
                    arrivalTimeNanos + plan.deadlineMillis() * NANOS_PER_MILLI,
                    host));
          }
          scheduleArrival(workspace, rate, tokens, limit, arrivalTimeNanos);
        });
  }

  private Tally tally(String workspace) {
    return tallies.computeIfAbsent(workspace, name -> new Tally());
  }

  private void dispatch(Request request) {
    Host host = hosts.get(request.host());
    if (plan.policy() != Policy.SYSTEM) {
      int index =
          plan.policy() == Policy.RANDOM
              ? random.nextInt(plan.targets())
              : nextTarget++ % plan.targets();
      host.states.get(index).tryAcquire(Integer.MAX_VALUE);
      send(request, index);
      return;
    }
    if (host.queue.size() == 0 && trySend(request)) {
      return;
    }
    host.queue.offer(request.workspace(), 1, request, latestStartNanos(request), nowNanos);
  }

  private long latestStartNanos(Request request) {
    long byDeadlineNanos = request.deadlineNanos() - (long) (plan.workMillis() * NANOS_PER_MILLI);
    return Math.min(byDeadlineNanos, request.arrivalNanos() + MAX_QUEUE_WAIT_NANOS);
  }

  private boolean trySend(Request request) {
    if (inFlight >= plan.targets() * plan.slots()) {
      return false;
    }
    Host host = hosts.get(request.host());
    TargetState state =
        new PowerOfTwoChooser(random)
            .acquire(host.states, any -> true, IntUnaryOperator.identity(), nowNanos);
    if (state == null) {
      return false;
    }
    send(request, host.states.indexOf(state));
    return true;
  }

  private void send(Request request, int index) {
    SimulatedTarget target = targets.get(index);
    TargetState state = hosts.get(request.host()).states.get(index);
    sent++;
    inFlight++;
    if (target.running >= plan.slots()) {
      sentToFull++;
      if (target.waitingRequests.size() >= 2 * plan.slots()) {
        state.recordShed(nowNanos);
        complete(request, index, false);
        return;
      }
      target.waitingRequests.add(() -> execute(request, index));
      return;
    }
    target.running++;
    execute(request, index);
  }

  private void execute(Request request, int index) {
    SimulatedTarget target = targets.get(index);
    double mean = plan.workMillis() * target.latencyFactor;
    long nanos = (long) (-Math.log(1 - random.nextDouble()) * mean * NANOS_PER_MILLI);
    schedule(
        nowNanos + nanos,
        () -> {
          target.running--;
          if (!target.waitingRequests.isEmpty()) {
            target.running++;
            target.waitingRequests.remove(0).run();
          }
          complete(request, index, true);
        });
  }

  private void complete(Request request, int index, boolean wasExecuted) {
    inFlight--;
    Host host = hosts.get(request.host());
    TargetState state = host.states.get(index);
    state.release();
    if (wasExecuted) {
      SimulatedTarget target = targets.get(index);
      state.recordLoadReport(target.running + target.waitingRequests.size(), nowNanos);
      state.recordOutcome(false);
      ejector.ejectIfOutlier(state, host.states, nowNanos);
      if (request.arrivalNanos() > plan.seconds() * NANOS_PER_SECOND / 10
          && nowNanos <= request.deadlineNanos()) {
        Tally tally = tally(request.workspace());
        tally.onTime++;
        tally.latency.recordValue(nowNanos - request.arrivalNanos());
      }
    }
    if (plan.policy() == Policy.SYSTEM) {
      dispatchQueued(request.host());
    }
  }

  // The free slot goes to this host's queue, or to the next host with waiting requests.
  private void dispatchQueued(int firstHost) {
    for (int i = 0; i < plan.hosts(); i++) {
      Host host = hosts.get((firstHost + i) % plan.hosts());
      Request request = host.queue.size() == 0 ? null : poll(host);
      if (request != null) {
        if (!trySend(request)) {
          host.queue.putBack(request.workspace(), request, latestStartNanos(request));
        }
        return;
      }
    }
  }

  private @Nullable Request poll(Host host) {
    return host.queue.poll(nowNanos, new ArrayList<>());
  }

  private void scheduleLoadReport() {
    schedule(
        nowNanos + NANOS_PER_SECOND,
        () -> {
          for (Host host : hosts) {
            for (int i = 0; i < targets.size(); i++) {
              SimulatedTarget target = targets.get(i);
              host.states
                  .get(i)
                  .recordLoadReport(target.running + target.waitingRequests.size(), nowNanos);
            }
            if (plan.policy() == Policy.SYSTEM && host.queue.size() > 0) {
              dispatchQueued(hosts.indexOf(host));
            }
          }
          scheduleLoadReport();
        });
  }
}
