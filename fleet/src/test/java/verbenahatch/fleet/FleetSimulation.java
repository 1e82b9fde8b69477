package verbenahatch.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.KeyHash;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.testing.FakePeerLink;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.StoreFaults;

/** Runs several nodes on one thread under a manual clock. */
final class FleetSimulation {

  static final String ENV = "production";
  static final String KEY = "vh_first";
  private static final Duration STEP = Duration.ofMillis(10);
  private static final int ZONES_PER_REGION = 2;

  /** One process of a simulated host. */
  static final class Host {
    final PeerAddress address;
    final FakePeerLink link;
    final FleetNode node;
    boolean alive = true;
    boolean paused;
    boolean leaving;

    Host(PeerAddress address, FakePeerLink link, FleetNode node) {
      this.address = address;
      this.link = link;
      this.node = node;
    }
  }

  final ManualClock clock = new ManualClock();
  final FakePeerNetwork network;
  final InMemoryObjectStore store = new InMemoryObjectStore();
  final Map<Integer, Host> hosts = new HashMap<>();
  final Map<Integer, Long> events = new HashMap<>();
  private final int regions;
  private long ids;

  FleetSimulation(long seed, int regions) {
    this.regions = regions;
    network = new FakePeerNetwork(clock, seed);
    network.setDelay(Duration.ofMillis(1), Duration.ofMillis(40));
    write("environment/" + ENV, document(1));
    write("keys/" + ENV, ring(1, KEY, "vh_second"));
  }

  /** Writes an object to the store, as an operator does. */
  void write(String name, byte[] value) {
    var old = store.get(name);
    long version = old.isOk() ? old.get().version() : 0;
    if (!store.put(name, value, version, "operator-" + ids++).isOk()) {
      throw new IllegalStateException("store refused " + name);
    }
  }

  void setStoreDown(boolean down) {
    store.setFaults(new StoreFaults(down, 0, false, 0, 0, false));
  }

  /** Loses the responses to the next {@code count} writes, which take effect. */
  void loseStoreResponses(int count) {
    store.setFaults(new StoreFaults(false, 0, false, count, 0, false));
  }

  static byte[] document(long generation) {
    return json(
        "{'environment':'production','generation':%d,'regions':[],'links':[],'services':[],"
            + "'routes':[],'workspaces':[],'releases':[],'clients':[]}",
        generation);
  }

  static byte[] ring(long generation, String... keys) {
    List<String> records = new ArrayList<>();
    for (String key : keys) {
      records.add(
          "{'sha256':'%s','workspace':'blue','issuedAtMillis':1}".formatted(KeyHash.of(key)));
    }
    return json("{'generation':%d,'keys':[" + String.join(",", records) + "]}", generation);
  }

  private static byte[] json(String text, long generation) {
    return text.replace('\'', '"').formatted(generation).getBytes(StandardCharsets.UTF_8);
  }

  /** Starts a process at the address, region and zone that its host number determines. */
  Host start(int number) {
    PeerAddress address = new PeerAddress("127.0.0." + (number + 1), 7000);
    String incarnation = "h" + number + "-" + ids++;
    int region = number % regions;
    int zone = region * ZONES_PER_REGION + number / regions % ZONES_PER_REGION;
    FakePeerLink link = network.open(address, incarnation);
    Member self =
        new Member(
            "host" + number,
            incarnation,
            "region" + region,
            "zone" + zone,
            address,
            "http://" + number,
            false);
    Events log = (code, args) -> events.merge(code.number(), 1L, Long::sum);
    FleetNode node =
        new FleetNode(self, ENV, clock, log, link, store, () -> "h" + number + "-" + ids++);
    Host host = new Host(address, link, node);
    Host previous = hosts.put(number, host);
    if (previous != null) {
      previous.alive = false;
    }
    Duration offset = Duration.ofMillis(number * 7L % 50);
    network.schedule(offset, () -> network.repeat(Duration.ofMillis(50), () -> tick(host)));
    network.schedule(offset, () -> network.repeat(Duration.ofMillis(100), () -> storeStep(host)));
    return host;
  }

  void startAll(int count) {
    for (int i = 0; i < count; i++) {
      start(i);
    }
    runUntil(Duration.ofSeconds(60), () -> allSeeMembers(count) && allReady());
  }

  private static void tick(Host host) {
    if (!host.alive || host.paused) {
      return;
    }
    host.node.tick();
    if (host.node.isWatcher()) {
      host.node.watchPrefixes().forEach(p -> host.node.watchStep(p, Duration.ZERO));
    }
  }

  private static void storeStep(Host host) {
    if (!host.alive || host.paused) {
      return;
    }
    if (!host.leaving) {
      host.node.storeStep();
    } else if (host.node.leaveStep()) {
      host.alive = false;
      host.link.close();
    }
  }

  void kill(int number) {
    Host host = host(number);
    host.alive = false;
    host.link.close();
  }

  void pause(int number) {
    host(number).paused = true;
    network.pause(host(number).address);
  }

  void resume(int number) {
    host(number).paused = false;
    network.resume(host(number).address);
  }

  Host host(int number) {
    Host host = hosts.get(number);
    if (host == null) {
      throw new IllegalArgumentException("no host " + number);
    }
    return host;
  }

  FleetNode node(int number) {
    return host(number).node;
  }

  Set<PeerAddress> addresses(Predicate<Member> test) {
    Set<PeerAddress> found = new HashSet<>();
    for (Host host : hosts.values()) {
      if (test.test(host.node.self())) {
        found.add(host.address);
      }
    }
    return found;
  }

  /** Separates one region from the others by a network partition. */
  void partitionRegion(int region) {
    String name = "region" + region;
    network.partition(
        addresses(m -> m.region().equals(name)), addresses(m -> !m.region().equals(name)));
  }

  List<FleetNode> liveNodes(Predicate<FleetNode> test) {
    return hosts.values().stream()
        .filter(h -> h.alive && !h.paused)
        .map(h -> h.node)
        .filter(test)
        .toList();
  }

  boolean allSeeMembers(int count) {
    return liveNodes(n -> n.members().size() != count).isEmpty();
  }

  boolean allReady() {
    return liveNodes(n -> !n.notReadyReason().isEmpty()).isEmpty();
  }

  void run(Duration time) {
    network.advance(time);
  }

  /**
   * Runs until a condition holds and returns the simulated time taken; fails when the limit is
   * over.
   */
  Duration runUntil(Duration limit, BooleanSupplier condition) {
    long start = clock.nanoTime();
    while (!condition.getAsBoolean()) {
      if (clock.nanoTime() - start > limit.toNanos()) {
        throw new AssertionError("condition does not hold after " + limit + ": " + describe());
      }
      network.advance(STEP);
    }
    return Duration.ofNanos(clock.nanoTime() - start);
  }

  private String describe() {
    StringBuilder text = new StringBuilder();
    hosts.forEach(
        (number, host) ->
            text.append(
                "\n%d alive=%s epoch=%d members=%d fresh=%s '%s'"
                    .formatted(
                        number,
                        host.alive,
                        host.node.membersEpoch(),
                        host.node.members().size(),
                        host.node.isFresh(),
                        host.node.notReadyReason())));
    return text.toString();
  }

  long eventCount(FleetEvent event) {
    return events.getOrDefault(event.number(), 0L);
  }
}
