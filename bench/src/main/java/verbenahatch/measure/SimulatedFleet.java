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

/** Runs fleet nodes on one thread under manual time, in three regions with two zones each. */
final class SimulatedFleet {

  static final String ENV = "production";

  private static final int REGIONS = 3;
  private static final int ZONES = 6;
  private static final long ZONE_NANOS = 1_000_000;
  private static final long REGION_NANOS = 35_000_000;
  private static final Duration TICK = Duration.ofMillis(50);
  private static final Duration STORE_STEP = Duration.ofMillis(100);
  private static final long WATCH_NANOS = 10_000_000_000L;

  /** Stands for one blocked watch call. */
  private static final class Blocked {
    private long sinceNanos;
    private long writes = -1;
  }

  private final ManualClock clock = new ManualClock();
  private final FakePeerNetwork network;
  private final InMemoryObjectStore store = new InMemoryObjectStore();
  private final List<FleetNode> nodes = new ArrayList<>();
  private final List<FakePeerLink> links = new ArrayList<>();
  private long ids;

  /**
   * Starts a fleet whose members record lists every host already.
   *
   * @param count the number of hosts
   * @param keys the number of keys issued
   * @param seed the seed of the network
   */
  SimulatedFleet(int count, int keys, long seed) {
    network = new FakePeerNetwork(clock, seed);
    network.setLatency(
        (from, to, random) -> region(from) == region(to) ? ZONE_NANOS : REGION_NANOS);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(member(i));
    }
    writeDocument(1);
    write("keys/" + ENV, Json.write(ring(keys)));
    write(
        "members/fleet", Json.write(Map.of("epoch", 1, "members", members, "removed", List.of())));
    members.forEach(this::start);
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

  private void start(Member member) {
    FakePeerLink link = network.open(member.peer(), member.incarnation());
    FleetNode node =
        new FleetNode(member, ENV, clock, Events.none(), link, store, () -> "id" + ids++);
    nodes.add(node);
    links.add(link);
    Map<String, Blocked> watches = new HashMap<>();
    node.watchPrefixes().forEach(prefix -> watches.put(prefix, new Blocked()));
    Duration phase = Duration.ofMillis(number(member.peer()) * 13L % TICK.toMillis());
    network.schedule(
        phase,
        () -> {
          network.repeat(TICK, () -> tick(node, watches));
          network.repeat(STORE_STEP, node::storeStep);
        });
  }

  private void tick(FleetNode node, Map<String, Blocked> watches) {
    node.tick();
    if (!node.isWatcher()) {
      return;
    }
    // A blocked watch returns at a write or when its time is over; only then does it cost a call.
    watches.forEach(
        (prefix, blocked) -> {
          long writes = store.count(InMemoryObjectStore.Call.PUT);
          if (writes != blocked.writes || clock.nanoTime() - blocked.sinceNanos >= WATCH_NANOS) {
            blocked.writes = writes;
            blocked.sinceNanos = clock.nanoTime();
            node.watchStep(prefix, Duration.ZERO);
          }
        });
  }

  void writeDocument(long generation) {
    String text =
        "{\"environment\":\"%s\",\"generation\":%d,\"regions\":[],\"links\":[],\"services\":[],"
            + "\"routes\":[],\"workspaces\":[],\"releases\":[],\"clients\":[]}";
    write("environment/" + ENV, text.formatted(ENV, generation).getBytes(StandardCharsets.UTF_8));
  }

  private void write(String name, byte[] value) {
    var old = store.get(name);
    store.put(name, value, old.isOk() ? old.get().version() : 0, "write" + ids++);
  }

  /** Loses messages from now on with a probability from 0 to 1. */
  void setLoss(double probability) {
    network.setLoss(probability);
  }

  void run(Duration time) {
    network.advance(time);
  }

  /** Runs until a condition holds and returns the time in milliseconds. */
  double until(Duration limit, BooleanSupplier condition) {
    long start = clock.nanoTime();
    while (!condition.getAsBoolean()) {
      if (clock.nanoTime() - start > limit.toNanos()) {
        throw new IllegalStateException("condition does not hold after " + limit);
      }
      network.advance(Duration.ofMillis(1));
    }
    return (clock.nanoTime() - start) / 1e6;
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
