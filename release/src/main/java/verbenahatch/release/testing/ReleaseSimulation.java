package verbenahatch.release.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import verbenahatch.fleet.Fact;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.ManualClock;
import verbenahatch.kernel.Result;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.testing.FakePeerLink;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.release.ReleaseNode;
import verbenahatch.release.ReleaseRecord;
import verbenahatch.release.Releases;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;

/**
 * Runs the production release nodes of several hosts on a manual clock.
 *
 * <p>Halts and records spread as with the heartbeat polls of the fleet: a host receives one with
 * its next poll, up to 300 ms later, after the network delay. Not thread-safe.
 */
public final class ReleaseSimulation {

  private static final Duration TICK = Duration.ofMillis(500);
  private static final long POLL_NANOS = Duration.ofMillis(300).toNanos();
  private static final int PORT = 7000;

  private final FakePeerNetwork network;
  private final Random random;
  private final ObjectStore store;
  private final EnvironmentDocument document;
  private final List<Member> members = new ArrayList<>();
  private final List<FakeHost> hosts = new ArrayList<>();
  private final List<ReleaseNode> nodes = new ArrayList<>();
  private final List<Boolean> fresh = new ArrayList<>();

  /**
   * Creates the hosts and starts their nodes.
   *
   * @param clock the clock
   * @param seed the seed of network delays and tick phases
   * @param hostCount the number of hosts
   * @param maxDelay the longest one-way delay between hosts
   * @param store the store that holds the records
   * @param document the document with the planned releases
   */
  public ReleaseSimulation(
      ManualClock clock,
      long seed,
      int hostCount,
      Duration maxDelay,
      ObjectStore store,
      EnvironmentDocument document) {
    this.network = new FakePeerNetwork(clock, seed);
    this.random = new Random(seed ^ 0x5DEECE66DL);
    this.store = store;
    this.document = document;
    network.setDelay(Duration.ofMillis(1), maxDelay);
    for (int i = 0; i < hostCount; i++) {
      PeerAddress address = new PeerAddress("10.0.0." + (i + 1), PORT);
      String region = "region-" + i % 3;
      members.add(
          new Member("host-" + i, "inc-" + i, region, region + "-a", address, "http://x", false));
      fresh.add(true);
    }
    members.forEach(member -> openHost(member, clock));
    network.repeat(Duration.ofNanos(POLL_NANOS), this::pollRecords);
  }

  private void openHost(Member member, ManualClock clock) {
    FakePeerLink link = network.open(member.peer(), member.incarnation());
    FakeHost host = new FakeHost(this, member);
    ReleaseNode node =
        new ReleaseNode(
            clock,
            Events.none(),
            host,
            host,
            host.config(),
            link,
            new StoreWriter(store, random::nextLong, nanos -> {}));
    hosts.add(host);
    nodes.add(node);
    int phaseMillis = random.nextInt((int) TICK.toMillis());
    network.schedule(
        Duration.ofMillis(phaseMillis),
        () -> {
          node.tick();
          network.repeat(TICK, node::tick);
        });
    network.schedule(
        Duration.ofMillis(random.nextInt((int) TICK.toMillis())),
        () -> network.repeat(TICK, node::coordinate));
  }

  private void pollRecords() {
    for (EnvironmentDocument.Service service : document.services()) {
      String name = ReleaseRecord.nameOf(service.name());
      Result<StoredObject, StoreError> read = store.get(name);
      if (read.isOk()) {
        hosts.forEach(host -> host.putObject(name, read.get().value()));
      }
    }
  }

  /** Delivers a fact to every other host that is in contact. */
  void propagate(Member from, Fact fact) {
    for (int i = 0; i < hosts.size(); i++) {
      FakeHost host = hosts.get(i);
      if (!host.self().equals(from) && fresh.get(i)) {
        long delay = (long) (random.nextDouble() * POLL_NANOS) + Duration.ofMillis(35).toNanos();
        network.schedule(Duration.ofNanos(delay), () -> host.addFact(fact));
      }
    }
  }

  boolean isFresh(String incarnation) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).incarnation().equals(incarnation)) {
        return fresh.get(i);
      }
    }
    return false;
  }

  /**
   * Disconnects a host from the others or connects it again.
   *
   * @param host the index of the host, from 0
   * @param isFresh whether it is in contact with the others
   */
  public void setFresh(int host, boolean isFresh) {
    fresh.set(host, isFresh);
    hosts.get(host).setFresh(isFresh);
  }

  /**
   * Returns the network; advancing its time runs the hosts.
   *
   * @return the network
   */
  public FakePeerNetwork network() {
    return network;
  }

  /**
   * Returns the members.
   *
   * @return the members in order of their index
   */
  public List<Member> members() {
    return members;
  }

  EnvironmentDocument document() {
    return document;
  }

  /**
   * Returns the releases of one host.
   *
   * @param host the index of the host
   * @return the releases that the gateway of the host would use
   */
  public Releases releases(int host) {
    return nodes.get(host);
  }

  /**
   * Reads the record of a service from the store.
   *
   * @param service the service
   * @return the record, empty if there is none or the store does not respond
   * @throws IllegalStateException if the record is unreadable
   */
  public Optional<ReleaseRecord> record(String service) {
    Result<StoredObject, StoreError> read = store.get(ReleaseRecord.nameOf(service));
    if (!read.isOk()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.read(read.get().value(), ReleaseRecord.class));
    } catch (JsonException e) {
      throw new IllegalStateException(e);
    }
  }
}
