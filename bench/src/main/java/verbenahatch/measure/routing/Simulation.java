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
 * Runs callers, hosts and targets of one region in virtual time.
 *
 * <p>Targets have slots and a short queue and shed the rest. Load reports come with each answer and
 * once a second. The region's capacity is taken as if its shares were divided exactly.
 */
final class Simulation {

  private static final long SECOND = 1_000_000_000L;
  private static final long MILLI = 1_000_000L;

  /** The wait that the gateway allows requests of some milliseconds. */
  private static final long MOST_WAIT_NANOS = 250_000_000L;

  private static final int QUEUE_PER_HOST = 2_000;

  private final Plan plan;
  private final RandomGenerator random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
  private final List<SimulatedTarget> targets = new ArrayList<>();
  private final List<Host> hosts = new ArrayList<>();
  private final OutlierEjector ejector = new OutlierEjector();
  private final Map<String, Tally> tallies = new TreeMap<>();
  private long now;
  private int inRegion;
  private int nextTarget;
  private long sent;
  private long sentToFull;

  /** Names a way to choose targets. */
  enum Policy {
    /** Two choices, places, the region's capacity and the fair queue. */
    SYSTEM,
    /** Each target in turn, without looking at load. */
    ROUND_ROBIN,
    /** Any target, without looking at load. */
    RANDOM
  }

  /**
   * Describes a run.
   *
   * @param policy the way to choose
   * @param hosts the number of entry hosts
   * @param targets the number of targets
   * @param slots the slots of each
   * @param workMillis the mean time of a request, in milliseconds
   * @param slowTargets the number of targets that take three times as long
   * @param deadlineMillis the time after which an answer is of no use, in milliseconds
   * @param rates the offered rate by workspace, in requests per second
   * @param limits the bought rate by workspace, empty for none
   * @param seconds the length, in seconds; the first tenth is not counted
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

    /** Returns the requests per second that all targets can run. */
    double capacity() {
      double full = targets - slowTargets + slowTargets / 3.0;
      return full * slots * 1_000 / workMillis;
    }
  }

  /** Counts what became of the requests of one workspace. */
  static final class Tally {
    final Histogram latency = new Histogram(60 * SECOND, 3);
    long offered;
    long inTime;

    double success() {
      return offered == 0 ? 1 : inTime / (double) offered;
    }

    double p99Millis() {
      return latency.getValueAtPercentile(99) / 1e6;
    }
  }

  private record Event(long atNanos, Runnable action) {}

  private record Call(String workspace, long arrivedNanos, long deadlineNanos, int host) {}

  private static final class Host {
    final List<TargetState> states = new ArrayList<>();
    final FairQueue<Call> queue = new FairQueue<>(QUEUE_PER_HOST, MILLI);
  }

  private static final class SimulatedTarget {
    final List<Runnable> waiting = new ArrayList<>();
    int running;
    double factor = 1;
  }

  Simulation(Plan plan, RandomGenerator random) {
    this.plan = plan;
    this.random = random;
    for (int i = 0; i < plan.targets(); i++) {
      SimulatedTarget target = new SimulatedTarget();
      target.factor = i < plan.slowTargets() ? 3 : 1;
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

  /** Runs to the end and returns the counts by workspace. */
  Map<String, Tally> run() {
    for (String workspace : plan.rates().keySet()) {
      tallies.put(workspace, new Tally());
      double limit = plan.limits().getOrDefault(workspace, Double.MAX_VALUE);
      arrive(workspace, plan.rates().getOrDefault(workspace, 0.0), new double[] {limit}, limit, 0);
    }
    report();
    long end = plan.seconds() * SECOND;
    while (!events.isEmpty() && events.peek().atNanos() < end) {
      Event event = events.remove();
      now = event.atNanos();
      event.action().run();
    }
    return tallies;
  }

  /** Returns the part of the requests sent to a target whose slots were all taken. */
  double sentToFull() {
    return sent == 0 ? 0 : sentToFull / (double) sent;
  }

  private void at(long nanos, Runnable action) {
    events.add(new Event(nanos, action));
  }

  private void arrive(String workspace, double rate, double[] tokens, double limit, long last) {
    long next = last + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
    at(
        next,
        () -> {
          // The burst is one second of the bought rate.
          tokens[0] = Math.min(limit, tokens[0] + limit * (next - last) / SECOND);
          boolean counted = next > plan.seconds() * SECOND / 10;
          tally(workspace).offered += counted ? 1 : 0;
          if (tokens[0] >= 1) {
            tokens[0] -= 1;
            int host = random.nextInt(plan.hosts());
            offer(new Call(workspace, next, next + plan.deadlineMillis() * MILLI, host));
          }
          arrive(workspace, rate, tokens, limit, next);
        });
  }

  private Tally tally(String workspace) {
    return tallies.computeIfAbsent(workspace, name -> new Tally());
  }

  private void offer(Call call) {
    Host host = hosts.get(call.host());
    if (plan.policy() != Policy.SYSTEM) {
      int index =
          plan.policy() == Policy.RANDOM
              ? random.nextInt(plan.targets())
              : nextTarget++ % plan.targets();
      host.states.get(index).tryAcquire(Integer.MAX_VALUE);
      send(call, index);
      return;
    }
    if (host.queue.size() == 0 && trySend(call)) {
      return;
    }
    host.queue.offer(call.workspace(), 1, call, latest(call), now);
  }

  private long latest(Call call) {
    long byDeadline = call.deadlineNanos() - (long) (plan.workMillis() * MILLI);
    return Math.min(byDeadline, call.arrivedNanos() + MOST_WAIT_NANOS);
  }

  private boolean trySend(Call call) {
    if (inRegion >= plan.targets() * plan.slots()) {
      return false;
    }
    Host host = hosts.get(call.host());
    TargetState state =
        new PowerOfTwoChooser(random)
            .acquire(host.states, any -> true, IntUnaryOperator.identity(), now);
    if (state == null) {
      return false;
    }
    send(call, host.states.indexOf(state));
    return true;
  }

  private void send(Call call, int index) {
    SimulatedTarget target = targets.get(index);
    TargetState state = hosts.get(call.host()).states.get(index);
    sent++;
    inRegion++;
    if (target.running >= plan.slots()) {
      sentToFull++;
      if (target.waiting.size() >= 2 * plan.slots()) {
        state.recordShed(now);
        ended(call, index, false);
        return;
      }
      target.waiting.add(() -> work(call, index));
      return;
    }
    target.running++;
    work(call, index);
  }

  private void work(Call call, int index) {
    SimulatedTarget target = targets.get(index);
    double mean = plan.workMillis() * target.factor;
    long nanos = (long) (-Math.log(1 - random.nextDouble()) * mean * MILLI);
    at(
        now + nanos,
        () -> {
          target.running--;
          if (!target.waiting.isEmpty()) {
            target.running++;
            target.waiting.remove(0).run();
          }
          ended(call, index, true);
        });
  }

  private void ended(Call call, int index, boolean ran) {
    inRegion--;
    Host host = hosts.get(call.host());
    TargetState state = host.states.get(index);
    state.release();
    if (ran) {
      SimulatedTarget target = targets.get(index);
      state.recordLoadReport(target.running + target.waiting.size(), now);
      state.recordOutcome(false);
      ejector.ejectIfOutlier(state, host.states, now);
      if (call.arrivedNanos() > plan.seconds() * SECOND / 10 && now <= call.deadlineNanos()) {
        Tally tally = tally(call.workspace());
        tally.inTime++;
        tally.latency.recordValue(now - call.arrivedNanos());
      }
    }
    if (plan.policy() == Policy.SYSTEM) {
      next(call.host());
    }
  }

  // The place goes to this host's queue, or to the next host that waits.
  private void next(int first) {
    for (int i = 0; i < plan.hosts(); i++) {
      Host host = hosts.get((first + i) % plan.hosts());
      Call call = host.queue.size() == 0 ? null : poll(host);
      if (call != null) {
        if (!trySend(call)) {
          host.queue.putBack(call.workspace(), call, latest(call));
        }
        return;
      }
    }
  }

  private @Nullable Call poll(Host host) {
    return host.queue.poll(now, new ArrayList<>());
  }

  private void report() {
    at(
        now + SECOND,
        () -> {
          for (Host host : hosts) {
            for (int i = 0; i < targets.size(); i++) {
              SimulatedTarget target = targets.get(i);
              host.states.get(i).recordLoadReport(target.running + target.waiting.size(), now);
            }
            if (plan.policy() == Policy.SYSTEM && host.queue.size() > 0) {
              next(hosts.indexOf(host));
            }
          }
          report();
        });
  }
}
