package verbenahatch.limits.testing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.limits.SharedLimits;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.testing.FakePeerNetwork;

/**
 * Simulates the shared limits of several hosts on one manual clock.
 *
 * <p>Messages about shares are sent over a {@link FakePeerNetwork}. The fleet is a simplified
 * model: every {@link #HEARTBEAT_MILLIS} each running host records a contact with the hosts it
 * reaches, a host out of contact with every fresh host is fenced while the store is up, and a
 * fenced or restarted process joins with a new incarnation. Not thread-safe.
 */
public final class LimitSimulation {

  /** Time between two heartbeats in milliseconds. */
  public static final long HEARTBEAT_MILLIS = 300;

  private static final long LEASE_EXPIRY_NANOS = 1_575_000_000L;
  private static final long FENCE_ACKNOWLEDGE_NANOS = 100_000_000L;
  private static final int BASE_PORT = 7000;

  private final ManualClock clock = new ManualClock();
  private final FakePeerNetwork network;
  private final MemoryStore store;
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final int regions;
  private final Map<String, Long> fenceTimes = new HashMap<>();
  private final Set<Integer> isolated = new HashSet<>();
  private List<Member> members = new ArrayList<>();
  private long epoch;
  private int incarnations;
  private EnvironmentDocument document;

  /**
   * Starts hosts that are members of one fleet.
   *
   * @param seed the seed of the network and the store
   * @param count the number of hosts
   * @param regions the number of regions, over which hosts are spread evenly
   * @param document the configuration in force
   * @param tick the time between two ticks of each host
   */
  public LimitSimulation(
      long seed, int count, int regions, EnvironmentDocument document, Duration tick) {
    this.regions = regions;
    this.document = document;
    this.network = new FakePeerNetwork(clock, seed);
    this.store = new MemoryStore(seed);
    for (int i = 0; i < count; i++) {
      hosts.add(startHost(i));
    }
    hosts.forEach(host -> members.add(host.self()));
    epoch = 1;
    heartbeat();
    network.repeat(Duration.ofMillis(HEARTBEAT_MILLIS), this::heartbeat);
    network.repeat(tick, this::tick);
  }

  /**
   * Returns the clock of all hosts.
   *
   * @return the clock
   */
  public ManualClock clock() {
    return clock;
  }

  /**
   * Returns the network between the hosts.
   *
   * @return the network
   */
  public FakePeerNetwork network() {
    return network;
  }

  /**
   * Returns the store.
   *
   * @return the store
   */
  public MemoryStore store() {
    return store;
  }

  /**
   * Returns the hosts; a restart replaces its entry.
   *
   * @return the hosts in order
   */
  public List<SimulatedHost> hosts() {
    return hosts;
  }

  /**
   * Sets the message delays between hosts of one region and between regions.
   *
   * @param inside the one-way delay within a region
   * @param between the one-way delay between regions
   */
  public void setLatency(Duration inside, Duration between) {
    network.setLatency(
        (from, to, random) -> (isSameRegion(from.port(), to.port()) ? inside : between).toNanos());
  }

  /**
   * Returns whether two hosts are in the same region.
   *
   * @param left the index of one host
   * @param right the index of the other host
   * @return true if they are in the same region
   */
  public boolean isSameRegion(int left, int right) {
    return left % regions == right % regions;
  }

  /**
   * Changes the document in force; each host adopts it after its own delay.
   *
   * @param newDocument the document, with a higher generation
   * @param longestDelay the longest delay of a host
   */
  public void changeDocument(EnvironmentDocument newDocument, Duration longestDelay) {
    document = newDocument;
    for (int i = 0; i < hosts.size(); i++) {
      Duration delay = longestDelay.multipliedBy(i).dividedBy(Math.max(1, hosts.size() - 1));
      int index = i;
      network.schedule(
          delay,
          () -> {
            if (!hosts.get(index).paused) {
              hosts.get(index).adopt(newDocument);
            }
          });
    }
  }

  /**
   * Ends the process of a host and closes its link.
   *
   * @param index the index of the host
   */
  public void kill(int index) {
    SimulatedHost host = hosts.get(index);
    host.killed = true;
    host.link.close();
  }

  /**
   * Restarts the process of a host with empty memory and a new incarnation.
   *
   * @param index the index of the host
   */
  public void restart(int index) {
    kill(index);
    hosts.set(index, startHost(index));
  }

  /**
   * Suspends the process of a host.
   *
   * @param index the index of the host
   */
  public void pause(int index) {
    hosts.get(index).paused = true;
    network.pause(hosts.get(index).link.localAddress());
  }

  /**
   * Resumes the suspended process of a host.
   *
   * @param index the index of the host
   */
  public void resume(int index) {
    hosts.get(index).paused = false;
    network.resume(hosts.get(index).link.localAddress());
  }

  /**
   * Starts a network partition between some hosts and the others.
   *
   * @param indexes the indexes of the hosts on one side
   */
  public void isolate(Set<Integer> indexes) {
    isolated.addAll(indexes);
    Set<PeerAddress> left = new HashSet<>();
    Set<PeerAddress> right = new HashSet<>();
    for (int i = 0; i < hosts.size(); i++) {
      (indexes.contains(i) ? left : right).add(address(i));
    }
    network.partition(left, right);
  }

  /** Ends the network partition. */
  public void heal() {
    isolated.clear();
    network.heal();
  }

  /**
   * Advances the clock and runs what becomes due.
   *
   * @param duration the time to advance by
   */
  public void advance(Duration duration) {
    network.advance(duration);
  }

  /**
   * Returns whether a host may use its shares now or later.
   *
   * @param host the host
   * @return false if its process was killed, or if its incarnation was fenced and its lease has
   *     expired
   */
  public boolean mayUseShares(SimulatedHost host) {
    long fencedAt =
        fenceTimes.getOrDefault(host.self().incarnation(), Long.MAX_VALUE - LEASE_EXPIRY_NANOS);
    return !host.killed
        && host.limits().holdsShares()
        && clock.nanoTime() < fencedAt + LEASE_EXPIRY_NANOS;
  }

  private static PeerAddress address(int index) {
    return new PeerAddress("127.0.0.1", BASE_PORT + index);
  }

  private Member member(int index) {
    String incarnation = "h" + index + "-" + ++incarnations;
    String region = "r" + (BASE_PORT + index) % regions;
    return new Member("h" + index, incarnation, region, region + "a", address(index), "", false);
  }

  private SimulatedHost startHost(int index) {
    Member self = member(index);
    SimulatedHost host =
        new SimulatedHost(index, clock, network.open(address(index), self.incarnation()), self);
    host.adopt(document);
    host.start(
        new SharedLimits(
            clock, host, host.config(), host.link, store, Runnable::run, Events.none()));
    return host;
  }

  private void tick() {
    for (SimulatedHost host : hosts) {
      if (host.isRunning()) {
        host.limits().tick();
      }
    }
  }

  private boolean reaches(SimulatedHost from, SimulatedHost to) {
    return to.isRunning() && isolated.contains(from.index) == isolated.contains(to.index);
  }

  private void heartbeat() {
    long now = clock.nanoTime();
    for (SimulatedHost host : hosts) {
      if (host.isRunning()) {
        heartbeat(host, now);
      }
    }
    if (!store.isDown()) {
      fence(now);
      remove(now);
      join();
    }
  }

  private void heartbeat(SimulatedHost host, long now) {
    int reached = 0;
    for (SimulatedHost other : hosts) {
      if (other == host || reaches(host, other)) {
        reached += isMember(other) ? 1 : 0;
        host.contacts.put(other.self().incarnation(), now);
      }
    }
    host.refresh();
    if (reached <= members.size() / 2) {
      return;
    }
    host.updateMembers(epoch, members);
    fenceTimes.forEach(
        (incarnation, at) -> host.leaseExpiries.put(incarnation, at + LEASE_EXPIRY_NANOS));
    if (document.generation() > host.generation() && isCatchUpDue(now)) {
      host.adopt(document);
    }
    if (fenceTimes.containsKey(host.self().incarnation())) {
      host.renew(member(host.index));
      host.link.setIncarnation(host.self().incarnation());
    }
  }

  /**
   * Returns whether hosts that missed a change of the document catch up now, on every tenth
   * heartbeat.
   */
  private static boolean isCatchUpDue(long now) {
    return now / 1_000_000 / HEARTBEAT_MILLIS % 10 == 0;
  }

  private boolean isMember(SimulatedHost host) {
    return members.stream().anyMatch(m -> m.incarnation().equals(host.self().incarnation()));
  }

  private void fence(long now) {
    for (Member member : members) {
      boolean alreadyFenced = fenceTimes.containsKey(member.incarnation());
      boolean inContact = false;
      boolean anyFresh = false;
      for (SimulatedHost host : hosts) {
        if (host.isRunning() && host.isFresh()) {
          anyFresh = true;
          inContact |= host.isInContact(member.incarnation());
        }
      }
      if (!alreadyFenced && anyFresh && !inContact) {
        fenceTimes.put(member.incarnation(), now + FENCE_ACKNOWLEDGE_NANOS);
      }
    }
  }

  private void remove(long now) {
    List<Member> remaining = new ArrayList<>(members);
    remaining.removeIf(m -> fenceTimes.getOrDefault(m.incarnation(), Long.MAX_VALUE) <= now);
    if (remaining.size() < members.size()) {
      members = remaining;
      epoch++;
    }
  }

  private void join() {
    for (SimulatedHost host : hosts) {
      boolean fenced = fenceTimes.containsKey(host.self().incarnation());
      boolean reached = hosts.stream().anyMatch(o -> o != host && isMember(o) && reaches(host, o));
      if (host.isRunning() && !isMember(host) && !fenced && reached) {
        members = new ArrayList<>(members);
        members.add(host.self());
        epoch++;
      }
    }
  }
}
