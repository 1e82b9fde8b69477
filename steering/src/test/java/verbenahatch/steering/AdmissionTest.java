package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
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

/** Guards against hosts that together admit more than a rate allows, or far less. */
class AdmissionTest {

  private static final double RATE = 40;

  /** Plays hosts that exchange datagrams with a delay, and counts what they admit together. */
  private static final class Fleet {
    static final long STEP_MILLIS = 10;
    static final long NEAR_MILLIS = 2;
    static final long FAR_MILLIS = 70;

    record Task(long atMillis, long order, Runnable work) {}

    final ManualClock clock = new ManualClock();
    final Bounds bounds = Samples.settings("h0").bounds();
    final SteeringWorkspace workspace;
    final int size;
    final HostTable[] hosts;
    final Admission[] admissions;
    final String[] incarnations;
    final long[] nextBeats;
    final int[] nextFar;
    final PriorityQueue<Task> tasks =
        new PriorityQueue<>(
            java.util.Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::order));
    final List<Long> admitted = new ArrayList<>();
    final Random random;
    long nowMillis;
    long order;
    long asked;
    long sequence;
    int cutBelow;
    int first;
    double loss;

    Fleet(long seed, int size, double rate) {
      workspace = new SteeringWorkspace("w", Set.of(KeyHash.of("key")), 0, rate, rate, Set.of());
      random = new Random(seed);
      this.size = size;
      hosts = new HostTable[size];
      admissions = new Admission[size];
      incarnations = new String[size];
      nextBeats = new long[size];
      nextFar = new int[size];
      for (int i = 0; i < size; i++) {
        nextBeats[i] = random.nextInt(400);
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
      SteeringSettings settings = Samples.settings("h" + host, region(host));
      hosts[host] = new HostTable(clock, Events.none(), settings, incarnation);
      Map<String, HostRecord> records = new HashMap<>();
      for (int i = 0; i < size; i++) {
        records.put("h" + i, record(i));
      }
      hosts[host].register(records);
      admissions[host] = new Admission(clock, hosts[host], bounds);
      admissions[host].connect(new Link(host, incarnation));
      repeat(host, incarnation, 250, () -> admissions[host].allocate(List.of(workspace)));
      repeat(
          host,
          incarnation,
          Admission.reportIntervalMillis(),
          () -> admissions[host].sendReports());
    }

    private void repeat(int host, String incarnation, long millis, Runnable work) {
      runAfter(
          millis,
          () -> {
            if (incarnations[host].equals(incarnation)) {
              work.run();
              repeat(host, incarnation, millis, work);
            }
          });
    }

    void runAfter(long millis, Runnable work) {
      tasks.add(new Task(nowMillis + Math.max(0, millis), order++, work));
    }

    /** Sends datagrams of one process with the delay of the way. */
    private final class Link implements Admission.Transport {
      private final int from;
      private final String incarnation;

      Link(int from, String incarnation) {
        this.from = from;
        this.incarnation = incarnation;
      }

      @Override
      public void send(String address, PeerDatagram datagram) {
        int to = Integer.parseInt(address.substring("10.0.0.".length(), address.indexOf(':')));
        transmit(from, to, () -> admissions[to].receive(datagram, address(from)));
      }

      @Override
      public void runAfter(long millis, Runnable task) {
        Fleet.this.runAfter(
            millis,
            () -> {
              if (incarnations[from].equals(incarnation)) {
                task.run();
              }
            });
      }
    }

    private void transmit(int from, int to, Runnable arrival) {
      if ((from < cutBelow) != (to < cutBelow) || random.nextDouble() < loss) {
        return;
      }
      runAfter(region(from).equals(region(to)) ? NEAR_MILLIS : FAR_MILLIS, arrival);
    }

    void run(long millis, double perSecond, double partOfFirst) {
      for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
        clock.advance(Duration.ofMillis(STEP_MILLIS));
        for (int i = 0; i < size; i++) {
          beat(i);
        }
        while (!tasks.isEmpty() && tasks.peek().atMillis <= nowMillis) {
          tasks.poll().work.run();
        }
        double chance = perSecond * STEP_MILLIS / 1_000;
        while (chance > 0 && random.nextDouble() < chance) {
          chance -= 1;
          ask(random.nextDouble() < partOfFirst ? first : random.nextInt(size));
        }
      }
    }

    private void beat(int host) {
      if (nowMillis < nextBeats[host]) {
        return;
      }
      HostTable own = hosts[host];
      own.refreshShape();
      nextBeats[host] = nowMillis + own.beatMillis();
      HostBeat.Builder beat =
          HostBeat.newBuilder()
              .setHost("h" + host)
              .setRegion(region(host))
              .setIncarnation(incarnations[host])
              .setPeerAddress(address(host))
              .setUptimeMillis(own.uptimeMillis())
              .setSequence(sequence++);
      admissions[host].writeDemands(beat);
      HostBeat message = beat.build();
      own.nearAddresses().keySet().forEach(name -> send(host, name, message));
      List<String> far = List.copyOf(own.farAddresses().keySet());
      for (int i = 0; i < Math.min(far.size(), own.farPerBeat()); i++) {
        send(host, far.get(nextFar[host]++ % far.size()), message);
      }
    }

    private void send(int from, String name, HostBeat beat) {
      int to = Integer.parseInt(name.substring(1));
      transmit(from, to, () -> hosts[to].receive(beat));
    }

    private void ask(int host) {
      asked++;
      admissions[host].admit(
          workspace,
          decision -> {
            if (decision.isAdmitted()) {
              admitted.add(nowMillis);
            }
          });
    }

    int mostInOneWindow() {
      int most = 0;
      int from = 0;
      for (int i = 0; i < admitted.size(); i++) {
        while (admitted.get(i) - admitted.get(from) >= bounds.quotaWindowMillis()) {
          from++;
        }
        most = Math.max(most, i - from + 1);
      }
      return most;
    }

    double allowed() {
      double base =
          workspace.ratePerSecond() * bounds.quotaWindowMillis() / 1_000 + workspace.burst();
      return base * (1 + bounds.quotaOvershoot()) + bounds.quotaSlack();
    }
  }

  /** A total that moves between hosts, is cut or loses a host must not be spent twice. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18})
  void hostsTogetherStayInsideTheWindow(long seed) {
    Fleet fleet = new Fleet(seed, 8, RATE);
    for (int i = 0; i < 12; i++) {
      fleet.first = fleet.random.nextInt(fleet.size);
      double part = fleet.random.nextBoolean() ? 0.95 : 0;
      fleet.cutBelow = fleet.random.nextInt(3) == 0 ? 1 + fleet.random.nextInt(7) : 0;
      fleet.run(1_000 + fleet.random.nextInt(5_000), RATE * fleet.random.nextInt(5), part);
      if (fleet.random.nextInt(3) == 0) {
        fleet.start(fleet.random.nextInt(fleet.size));
      }
    }
    int most = fleet.mostInOneWindow();
    assertTrue(most <= fleet.allowed(), "seed " + seed + ": " + most + " of " + fleet.allowed());
    assertTrue(most > 0.6 * fleet.allowed(), "seed " + seed + ": only " + most);
  }

  /** The same with homes: they are cut off, killed alone or with most others, and replaced. */
  @ParameterizedTest
  @CsvSource({
    "1, 40", "2, 40", "3, 40", "4, 40", "5, 2", "6, 2", "7, 2", "8, 200", "9, 200", "10, 200"
  })
  void homesTogetherStayInsideTheWindow(long seed, double rate) {
    Fleet fleet = new Fleet(seed, 45, rate);
    fleet.loss = 0.01;
    for (int i = 0; i < 8; i++) {
      fleet.first = fleet.random.nextInt(fleet.size);
      double part = fleet.random.nextBoolean() ? 0.5 : 0;
      fleet.cutBelow = fleet.random.nextInt(3) == 0 ? 1 + fleet.random.nextInt(44) : 0;
      fleet.run(1_000 + fleet.random.nextInt(5_000), rate * fleet.random.nextInt(5), part);
      int killed = List.of(0, 1, 2, 30).get(fleet.random.nextInt(4));
      for (int j = 0; j < killed; j++) {
        fleet.start(fleet.random.nextInt(fleet.size));
      }
    }
    int most = fleet.mostInOneWindow();
    assertTrue(most <= fleet.allowed(), "seed " + seed + ": " + most + " of " + fleet.allowed());
  }

  /**
   * A workspace at its rate was refused when its callers moved from one host to another.
   *
   * <p>Six of ten callers move every 4 s. A host needs up to 0.8 s to hear of it, so up to 0.6 x
   * 0.8 / 4 = 12 of 100 requests could miss their part; buckets refused 28 to 30 of 100.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void workspaceAtItsRateIsServedWhileItsCallersMove(long seed) {
    Fleet fleet = new Fleet(seed, 8, RATE);
    for (int i = 0; i < 8; i++) {
      fleet.first = fleet.random.nextInt(fleet.size);
      fleet.run(4_000, RATE, 0.6);
    }
    double refused = 1 - fleet.admitted.size() / (double) fleet.asked;
    assertTrue(refused < 0.12, "seed " + seed + ": refused " + refused + " of " + fleet.asked);
  }

  /**
   * In a fleet of 90 hosts, parts of less than a request refused a third of all requests or more.
   *
   * <p>At a demand inside the rate nothing is to be refused, but for datagrams that get lost.
   */
  @ParameterizedTest
  @CsvSource({"1, 40, 0.6", "2, 40, 0.6", "1, 2, 0.6", "2, 2, 0.6", "1, 200, 0.6", "1, 40, 1.0"})
  void workspaceInsideItsRateIsServedByManyHosts(long seed, double rate, double demand) {
    Fleet fleet = new Fleet(seed, 90, rate);
    fleet.run(2_000, rate * demand, 0);
    fleet.asked = 0;
    fleet.admitted.clear();
    fleet.run(Math.max(15_000, (long) (200_000 / rate)), rate * demand, 0);
    double served = fleet.admitted.size() / (double) fleet.asked;
    assertTrue(served > 0.95, "served " + served + " of " + fleet.asked);
  }

  /** A workspace far beyond its rate gets the rate, and no more. */
  @ParameterizedTest
  @CsvSource({"1, 40", "2, 40", "1, 2", "1, 200"})
  void workspaceBeyondItsRateGetsTheRate(long seed, double rate) {
    Fleet fleet = new Fleet(seed, 90, rate);
    fleet.run(15_000, rate * 5, 0);
    int most = fleet.mostInOneWindow();
    assertTrue(most <= fleet.allowed(), most + " of " + fleet.allowed());
    double served = fleet.admitted.size() / (rate * 15);
    assertTrue(served > 0.9, "served " + served + " of what the rate allows, most " + most);
  }
}
