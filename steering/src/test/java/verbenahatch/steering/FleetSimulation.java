package verbenahatch.steering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntPredicate;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.KeyHash;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.PeerDatagram;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.quota.Admission;
import verbenahatch.steering.quota.Admission.Decision;

/**
 * Simulates hosts that exchange datagrams with a delay, and counts the requests that they admit
 * together.
 */
final class FleetSimulation {
  static final long STEP_MILLIS = 10;
  static final long SAME_REGION_DELAY_MILLIS = 2;
  static final long OTHER_REGION_DELAY_MILLIS = 70;

  record Task(long atMillis, long order, Runnable work) {}

  final ManualClock clock = new ManualClock();
  final Bounds bounds = Samples.settings("h0").bounds();
  final SteeringWorkspace workspace;
  final int size;
  final HostTable[] hosts;
  final Admission[] admissions;
  final String[] incarnations;
  final long[] nextHeartbeatMillis;
  final int[] nextFar;
  final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
  final List<Long> admitted = new ArrayList<>();
  final Random random;
  long nowMillis;
  long order;
  long requested;
  long sequence;

  /** The hosts that callers use; requests that would go to others are sent to these. */
  IntPredicate usedByCallers = host -> true;

  final Map<Decision, Integer> decisions = new EnumMap<>(Decision.class);
  final boolean[] leaving;
  int partitionBelow;

  /** The region that is cut off from the others, empty if none is. */
  String cutRegion = "";

  int preferredHost;
  double lossRate;

  /** The requests per second that all callers send in a scenario. */
  double demandPerSecond;

  FleetSimulation(long seed, int size, double rate) {
    workspace = new SteeringWorkspace("w", Set.of(KeyHash.of("key")), 0, rate, rate, Set.of());
    random = new Random(seed);
    this.size = size;
    hosts = new HostTable[size];
    admissions = new Admission[size];
    incarnations = new String[size];
    nextHeartbeatMillis = new long[size];
    nextFar = new int[size];
    leaving = new boolean[size];
    for (int i = 0; i < size; i++) {
      nextHeartbeatMillis[i] = random.nextInt(400);
      start(i);
    }
    run(10_000, 0, 1);
  }

  static String region(int host) {
    return List.of("a", "b", "c").get(host % 3);
  }

  static String address(int host) {
    return "10.0.0." + host + ":7";
  }

  static HostRecord record(int host) {
    String region = region(host);
    return new HostRecord("h" + host, "i", region + "1", region, "10.0.0.1:1", address(host));
  }

  void start(int host) {
    String incarnation = "i" + host + "-" + nowMillis;
    incarnations[host] = incarnation;
    leaving[host] = false;
    SteeringSettings settings = Samples.settings("h" + host, region(host));
    hosts[host] = new HostTable(clock, Events.none(), settings, incarnation);
    Map<String, HostRecord> records = new HashMap<>();
    for (int i = 0; i < size; i++) {
      records.put("h" + i, record(i));
    }
    hosts[host].register(records);
    admissions[host] = new Admission(clock, hosts[host], bounds);
    admissions[host].connect(new HostTransport(host, incarnation));
    repeatEvery(host, incarnation, 250, () -> admissions[host].allocate(List.of(workspace)));
    repeatEvery(
        host, incarnation, Admission.reportIntervalMillis(), () -> admissions[host].sendReports());
  }

  /** Kills the process of a host, which loses its state and the datagrams sent to it. */
  void stop(int host) {
    incarnations[host] = "";
  }

  /** Returns whether a host runs and is not leaving. */
  boolean isServing(int host) {
    return isRunning(host) && !leaving[host];
  }

  private boolean isRunning(int host) {
    return !incarnations[host].isEmpty();
  }

  /** Lets a host announce that it is leaving, kills it later, and starts it again. */
  void restart(int host, long leavingMillis, long downMillis) {
    leaving[host] = true;
    hosts[host].markLeaving();
    runAfter(leavingMillis, () -> stop(host));
    runAfter(leavingMillis + downMillis, () -> start(host));
  }

  private void repeatEvery(int host, String incarnation, long millis, Runnable work) {
    runAfter(
        millis,
        () -> {
          if (incarnations[host].equals(incarnation)) {
            work.run();
            repeatEvery(host, incarnation, millis, work);
          }
        });
  }

  void runAfter(long millis, Runnable work) {
    tasks.add(new Task(nowMillis + Math.max(0, millis), order++, work));
  }

  /** Sends datagrams of one process with the delay between the two regions. */
  private final class HostTransport implements Admission.Transport {
    private final int from;
    private final String incarnation;

    HostTransport(int from, String incarnation) {
      this.from = from;
      this.incarnation = incarnation;
    }

    @Override
    public void send(String address, PeerDatagram datagram) {
      int to = Integer.parseInt(address.substring("10.0.0.".length(), address.indexOf(':')));
      transmit(
          from,
          to,
          () -> {
            if (isRunning(to)) {
              admissions[to].receive(datagram, address(from));
            }
          });
    }

    @Override
    public void runAfter(long millis, Runnable task) {
      FleetSimulation.this.runAfter(
          millis,
          () -> {
            if (incarnations[from].equals(incarnation)) {
              task.run();
            }
          });
    }
  }

  private void transmit(int from, int to, Runnable delivery) {
    boolean cut =
        (from < partitionBelow) != (to < partitionBelow)
            || region(from).equals(cutRegion) != region(to).equals(cutRegion);
    if (cut || random.nextDouble() < lossRate) {
      return;
    }
    runAfter(
        region(from).equals(region(to)) ? SAME_REGION_DELAY_MILLIS : OTHER_REGION_DELAY_MILLIS,
        delivery);
  }

  void run(long millis, double perSecond, double preferredFraction) {
    for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
      clock.advance(Duration.ofMillis(STEP_MILLIS));
      for (int i = 0; i < size; i++) {
        sendHeartbeatIfDue(i);
      }
      while (!tasks.isEmpty() && tasks.peek().atMillis <= nowMillis) {
        tasks.poll().work.run();
      }
      double expectedRequests = perSecond * STEP_MILLIS / 1_000;
      while (expectedRequests > 0 && random.nextDouble() < expectedRequests) {
        expectedRequests -= 1;
        request(random.nextDouble() < preferredFraction ? preferredHost : random.nextInt(size));
      }
    }
  }

  private void sendHeartbeatIfDue(int host) {
    if (nowMillis < nextHeartbeatMillis[host] || !isRunning(host)) {
      return;
    }
    HostTable own = hosts[host];
    own.refreshTopology();
    nextHeartbeatMillis[host] = nowMillis + own.heartbeatPeriodMillis();
    HostBeat.Builder heartbeat =
        HostBeat.newBuilder()
            .setHost("h" + host)
            .setRegion(region(host))
            .setIncarnation(incarnations[host])
            .setPeerAddress(address(host))
            .setUptimeMillis(own.uptimeMillis())
            .setLeaving(leaving[host])
            .setSequence(sequence++);
    admissions[host].writeDemands(heartbeat);
    HostBeat message = heartbeat.build();
    own.nearAddresses().keySet().forEach(name -> send(host, name, message));
    List<String> far = List.copyOf(own.farAddresses().keySet());
    for (int i = 0; i < Math.min(far.size(), own.farHostsPerHeartbeat()); i++) {
      send(host, far.get(nextFar[host]++ % far.size()), message);
    }
  }

  private void send(int from, String name, HostBeat heartbeat) {
    int to = Integer.parseInt(name.substring(1));
    transmit(
        from,
        to,
        () -> {
          if (isRunning(to)) {
            hosts[to].receive(heartbeat);
          }
        });
  }

  private void request(int preferred) {
    int host = preferred;
    for (int i = 0; i < 50 && !(isServing(host) && usedByCallers.test(host)); i++) {
      host = random.nextInt(size);
    }
    if (!isServing(host)) {
      return;
    }
    requested++;
    admissions[host].admit(
        workspace,
        decision -> {
          decisions.merge(decision, 1, Integer::sum);
          if (decision.isAdmitted()) {
            admitted.add(nowMillis);
          }
        });
  }

  int maxAdmittedInWindow() {
    int most = 0;
    int windowStart = 0;
    for (int i = 0; i < admitted.size(); i++) {
      while (admitted.get(i) - admitted.get(windowStart) >= bounds.quotaWindowMillis()) {
        windowStart++;
      }
      most = Math.max(most, i - windowStart + 1);
    }
    return most;
  }

  /** Forgets what was counted so far, except the times of admissions. */
  void resetCounts() {
    requested = 0;
    decisions.clear();
  }

  /** Returns the share of the decided requests that were refused, from 0 to 1. */
  double refusedShare() {
    double all = 0;
    double refused = 0;
    for (Map.Entry<Decision, Integer> entry : decisions.entrySet()) {
      all += entry.getValue();
      refused += entry.getKey().isAdmitted() ? 0 : entry.getValue();
    }
    return all == 0 ? 0 : refused / all;
  }

  double allowedPerWindow() {
    double base =
        workspace.ratePerSecond() * bounds.quotaWindowMillis() / 1_000 + workspace.burst();
    return base * (1 + bounds.quotaOvershoot()) + bounds.quotaSlack();
  }
}
