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
 * Runs the limits of several hosts on one manual clock.
 *
 * <p>Messages about shares travel over a {@link FakePeerNetwork}. The fleet underneath follows the
 * rules of the design in a simpler way: every {@link #PULSE_MILLIS} each running host notes the
 * contact with the hosts it reaches, a host out of contact with every fresh host is fenced while
 * the store is up, and a fenced or restarted process joins under a new incarnation. Not
 * thread-safe.
 */
public final class LimitSimulation {

  /** Time between two pulses in milliseconds. */
  public static final long PULSE_MILLIS = 300;

  private static final long LAPSE_NANOS = 1_575_000_000L;
  private static final long ACKNOWLEDGE_NANOS = 100_000_000L;
  private static final int BASE_PORT = 7000;

  private final ManualClock clock = new ManualClock();
  private final FakePeerNetwork network;
  private final MemoryStore store;
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private final int regions;
  private final Map<String, Long> fences = new HashMap<>();
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
   * @param regions the number of regions; hosts are spread evenly
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
      hosts.add(boot(i));
    }
    hosts.forEach(host -> members.add(host.self()));
    epoch = 1;
    pulse();
    network.repeat(Duration.ofMillis(PULSE_MILLIS), this::pulse);
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
   * Sets the delays of the design: between hosts of a region and between regions.
   *
   * @param inside one way inside a region
   * @param between one way between regions
   */
  public void setLatency(Duration inside, Duration between) {
    network.setLatency(
        (from, to, random) -> (isSameRegion(from.port(), to.port()) ? inside : between).toNanos());
  }

  /**
   * Tells whether two hosts are in one region.
   *
   * @param left the index of a host
   * @param right the index of another
   * @return true if they are
   */
  public boolean isSameRegion(int left, int right) {
    return left % regions == right % regions;
  }

  /**
   * Puts another configuration in force; each host adopts it after a delay of its own.
   *
   * @param changed the document, of a higher generation
   * @param longest the longest delay
   */
  public void change(EnvironmentDocument changed, Duration longest) {
    document = changed;
    for (int i = 0; i < hosts.size(); i++) {
      Duration delay = longest.multipliedBy(i).dividedBy(Math.max(1, hosts.size() - 1));
      int index = i;
      network.schedule(
          delay,
          () -> {
            if (!hosts.get(index).paused) {
              hosts.get(index).adopt(changed);
            }
          });
    }
  }

  /**
   * Kills the process of a host.
   *
   * @param index the host
   */
  public void kill(int index) {
    SimulatedHost host = hosts.get(index);
    host.killed = true;
    host.link.close();
  }

  /**
   * Starts the process of a host again, with empty memory.
   *
   * @param index the host
   */
  public void restart(int index) {
    kill(index);
    hosts.set(index, boot(index));
  }

  /**
   * Suspends the process of a host.
   *
   * @param index the host
   */
  public void pause(int index) {
    hosts.get(index).paused = true;
    network.pause(hosts.get(index).link.localAddress());
  }

  /**
   * Resumes a suspended process.
   *
   * @param index the host
   */
  public void resume(int index) {
    hosts.get(index).paused = false;
    network.resume(hosts.get(index).link.localAddress());
  }

  /**
   * Cuts some hosts off the others.
   *
   * @param indexes the hosts on one side
   */
  public void isolate(Set<Integer> indexes) {
    isolated.addAll(indexes);
    Set<PeerAddress> left = new HashSet<>();
    Set<PeerAddress> right = new HashSet<>();
    for (int i = 0; i < hosts.size(); i++) {
      (indexes.contains(i) ? left : right).add(address(i));
    }
    network.cut(left, right);
  }

  /** Ends the cut. */
  public void heal() {
    isolated.clear();
    network.heal();
  }

  /**
   * Moves the time.
   *
   * @param step the distance
   */
  public void advance(Duration step) {
    network.advance(step);
  }

  /**
   * Tells whether a host may use its shares now or later.
   *
   * @param host the host
   * @return false if its process is gone, or its incarnation was fenced and has lapsed
   */
  public boolean mayUseShares(SimulatedHost host) {
    long fencedAt = fences.getOrDefault(host.self().incarnation(), Long.MAX_VALUE - LAPSE_NANOS);
    return !host.killed && host.limits().holdsShares() && clock.nanoTime() < fencedAt + LAPSE_NANOS;
  }

  private static PeerAddress address(int index) {
    return new PeerAddress("127.0.0.1", BASE_PORT + index);
  }

  private Member member(int index) {
    String incarnation = "h" + index + "-" + ++incarnations;
    String region = "r" + (BASE_PORT + index) % regions;
    return new Member("h" + index, incarnation, region, region + "a", address(index), "", false);
  }

  private SimulatedHost boot(int index) {
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

  private void pulse() {
    long now = clock.nanoTime();
    for (SimulatedHost host : hosts) {
      if (host.isRunning()) {
        pulse(host, now);
      }
    }
    if (!store.isDown()) {
      fence(now);
      remove(now);
      join();
    }
  }

  private void pulse(SimulatedHost host, long now) {
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
    host.see(epoch, members);
    fences.forEach((incarnation, at) -> host.lapses.put(incarnation, at + LAPSE_NANOS));
    if (document.generation() > host.generation() && isLate(now)) {
      host.adopt(document);
    }
    if (fences.containsKey(host.self().incarnation())) {
      host.renew(member(host.index));
      host.link.setIncarnation(host.self().incarnation());
    }
  }

  /** Lets hosts that missed a change catch up on every tenth pulse. */
  private static boolean isLate(long now) {
    return now / 1_000_000 / PULSE_MILLIS % 10 == 0;
  }

  private boolean isMember(SimulatedHost host) {
    return members.stream().anyMatch(m -> m.incarnation().equals(host.self().incarnation()));
  }

  private void fence(long now) {
    for (Member member : members) {
      boolean known = fences.containsKey(member.incarnation());
      boolean seen = false;
      boolean fresh = false;
      for (SimulatedHost host : hosts) {
        if (host.isRunning() && host.isFresh()) {
          fresh = true;
          seen |= host.isInContact(member.incarnation());
        }
      }
      if (!known && fresh && !seen) {
        fences.put(member.incarnation(), now + ACKNOWLEDGE_NANOS);
      }
    }
  }

  private void remove(long now) {
    List<Member> left = new ArrayList<>(members);
    left.removeIf(m -> fences.getOrDefault(m.incarnation(), Long.MAX_VALUE) <= now);
    if (left.size() < members.size()) {
      members = left;
      epoch++;
    }
  }

  private void join() {
    for (SimulatedHost host : hosts) {
      boolean fenced = fences.containsKey(host.self().incarnation());
      boolean reached = hosts.stream().anyMatch(o -> o != host && isMember(o) && reaches(host, o));
      if (host.isRunning() && !isMember(host) && !fenced && reached) {
        members = new ArrayList<>(members);
        members.add(host.self());
        epoch++;
      }
    }
  }
}
