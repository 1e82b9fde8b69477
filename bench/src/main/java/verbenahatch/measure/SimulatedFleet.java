package verbenahatch.measure;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import verbenahatch.fleet.FleetNode;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.KeyHash;
import verbenahatch.model.KeyRecord;
import verbenahatch.model.KeyRing;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.testing.FakePeerLink;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.standins.InMemoryObjectStore;

/** Simulates fleet nodes on one thread in virtual time, in three regions with two zones each. */
final class SimulatedFleet {

  static final String ENVIRONMENT = "production";

  private static final int REGIONS = 3;
  private static final int ZONES = 6;
  private static final long SAME_REGION_LATENCY_NANOS = 1_000_000;
  private static final long CROSS_REGION_LATENCY_NANOS = 35_000_000;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final Duration STORE_STEP_INTERVAL = Duration.ofMillis(100);
  private static final long MAX_WATCH_NANOS = 10_000_000_000L;

  /** State of a watch call that waits for a write to the store. */
  private static final class BlockedWatch {
    private long startNanos;
    private long knownWrites = -1;
  }

  private final ManualClock clock = new ManualClock();
  private final FakePeerNetwork network;
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final List<FleetNode> nodes = new ArrayList<>();
  private final List<FakePeerLink> links = new ArrayList<>();
  private long nextId;

  /**
   * Starts a fleet whose stored member list already has every host.
   *
   * @param count the number of hosts
   * @param keys the number of keys issued
   * @param seed the seed of the simulated network
   */
  SimulatedFleet(int count, int keys, long seed) {
    network = new FakePeerNetwork(clock, seed);
    network.setLatency(
        (from, to, random) ->
            region(from) == region(to) ? SAME_REGION_LATENCY_NANOS : CROSS_REGION_LATENCY_NANOS);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(i));
    }
    writeDocument(1);
    write("keys/" + ENVIRONMENT, Json.write(ring(keys)));
    write(
        "members/fleet", Json.write(Map.of("epoch", 1, "members", members, "removed", List.of())));
    members.forEach(this::startNode);
  }

  private static int number(PeerAddress address) {
    return address.port() - 1;
  }

  private static int region(PeerAddress address) {
    return number(address) % REGIONS;
  }

  private static Member member(int number) {
    return new Member(
        "host" + number,
        KeyHash.of("incarnation" + number).substring(0, 32),
        "region" + number % REGIONS,
        "zone" + number % ZONES,
        new PeerAddress("10.0.0.1", number + 1),
        "http://10.0.0.1:" + (8_000 + number),
        false);
  }

  static String key(int number) {
    return "vh_" + number;
  }

  private static KeyRing ring(int count) {
    List<KeyRecord> keys = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      keys.add(new KeyRecord(KeyHash.of(key(i)), "blue", 1, null));
    }
    return new KeyRing(1, keys);
  }

  private void startNode(Member member) {
    FakePeerLink link = network.open(member.peer(), member.incarnation());
    FleetNode node =
        new FleetNode(
            member, ENVIRONMENT, clock, Events.none(), link, store, () -> "id" + nextId++);
    nodes.add(node);
    links.add(link);
    Map<String, BlockedWatch> watches = new HashMap<>();
    node.watchPrefixes().forEach(prefix -> watches.put(prefix, new BlockedWatch()));
    Duration phase = Duration.ofMillis(number(member.peer()) * 13L % TICK_INTERVAL.toMillis());
    network.schedule(
        phase,
        () -> {
          network.repeat(TICK_INTERVAL, () -> tick(node, watches));
          network.repeat(STORE_STEP_INTERVAL, node::storeStep);
        });
  }

  private void tick(FleetNode node, Map<String, BlockedWatch> watches) {
    node.tick();
    if (!node.isWatcher()) {
      return;
    }
    // A watch call returns at a write or after MAX_WATCH_NANOS; only then is it counted as a call.
    watches.forEach(
        (prefix, watch) -> {
          long writes = store.count(InMemoryObjectStore.Call.PUT);
          if (writes != watch.knownWrites
              || clock.nanoTime() - watch.startNanos >= MAX_WATCH_NANOS) {
            watch.knownWrites = writes;
            watch.startNanos = clock.nanoTime();
            node.watchStep(prefix, Duration.ZERO);
          }
        });
  }

  void writeDocument(long generation) {
    String text =
        "{\"environment\":\"%s\",\"generation\":%d,\"regions\":[],\"links\":[],\"services\":[],"
            + "\"routes\":[],\"workspaces\":[],\"releases\":[],\"clients\":[]}";
    write(
        "environment/" + ENVIRONMENT,
        text.formatted(ENVIRONMENT, generation).getBytes(StandardCharsets.UTF_8));
  }

  private void write(String name, byte[] value) {
    var current = store.get(name);
    store.put(name, value, current.isOk() ? current.get().version() : 0, "write" + nextId++);
  }

  /** Sets the probability, from 0 to 1, that a message sent from now on is lost. */
  void setLoss(double probability) {
    network.setLoss(probability);
  }

  void run(Duration duration) {
    network.advance(duration);
  }

  /**
   * Runs until a condition holds.
   *
   * @return the simulated time that passed, in milliseconds
   * @throws IllegalStateException if the condition does not hold within the limit
   */
  double millisUntil(Duration limit, BooleanSupplier condition) {
    long startedNanos = clock.nanoTime();
    while (!condition.getAsBoolean()) {
      if (clock.nanoTime() - startedNanos > limit.toNanos()) {
        throw new IllegalStateException("condition does not hold after " + limit);
      }
      network.advance(Duration.ofMillis(1));
    }
    return (clock.nanoTime() - startedNanos) / 1e6;
  }

  List<FleetNode> nodes() {
    return nodes;
  }

  long messages() {
    return links.stream().mapToLong(FakePeerLink::messagesSent).sum();
  }

  long bytes() {
    return links.stream().mapToLong(FakePeerLink::bytesSent).sum();
  }

  List<Long> bytesByHost() {
    return links.stream().map(FakePeerLink::bytesSent).toList();
  }

  long storeCalls() {
    return store.totalCount();
  }
}
