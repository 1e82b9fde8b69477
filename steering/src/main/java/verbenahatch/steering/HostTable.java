package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongToDoubleFunction;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Hashing;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.quota.QuotaFleet;

/**
 * Holds the hosts that are registered in the store and those whose heartbeats arrive.
 *
 * <p>Thread-safe. A host is alive while its heartbeats arrive; its record in the store alone does
 * not show that it runs.
 */
final class HostTable implements QuotaFleet {

  /** Heartbeat periods without a heartbeat after which a host of a small fleet has timed out. */
  private static final int MAX_MISSED_HEARTBEATS = 4;

  /** Lower than in a small fleet, because heartbeats of a large fleet are further apart. */
  private static final int MAX_MISSED_HEARTBEATS_LARGE_FLEET = 3;

  /** Hosts among which the requests that a cold target tolerates are divided. */
  private static final int WARM_UP_OWNERS = 3;

  /** Time after the last heartbeat of a host for which this host still sends heartbeats to it. */
  private static final long HOST_EXPIRY_MILLIS = 20_000;

  /**
   * Difference of uptimes up to which hosts are equally settled. Without it, hosts that started
   * together replaced each other as coordinators when each of them reached the quota window.
   */
  private static final long SETTLED_TOLERANCE_MILLIS = 3_000;

  private record ReceivedHeartbeat(HostBeat heartbeat, long receivedNanos) {}

  private final Clock clock;
  private final Events events;
  private final SteeringSettings settings;
  private final String incarnation;
  private final long startNanos;
  private volatile boolean leaving;
  private final Map<String, ReceivedHeartbeat> heartbeats = new ConcurrentHashMap<>();
  private volatile Map<String, HostRecord> registered = Map.of();
  private volatile FleetTopology topology = new FleetTopology(Map.of(), Set.of());
  private final Set<String> reportedAlive = new HashSet<>();

  HostTable(Clock clock, Events events, SteeringSettings settings, String incarnation) {
    this.clock = clock;
    this.events = events;
    this.settings = settings;
    this.incarnation = incarnation;
    this.startNanos = clock.nanoTime();
  }

  /** Marks this host as leaving, so that it is no longer a member of its region. */
  void markLeaving() {
    leaving = true;
  }

  /** Returns the time since the start of this process, in milliseconds. */
  long uptimeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
  }

  void register(Map<String, HostRecord> records) {
    registered = Map.copyOf(records);
    refreshTopology();
  }

  /** Recomputes the periods of heartbeats from the known hosts. */
  void refreshTopology() {
    Map<String, String> regions = new HashMap<>();
    Set<String> timedOut = new HashSet<>();
    registered.forEach((name, record) -> regions.put(name, record.region()));
    long nowNanos = clock.nanoTime();
    heartbeats.forEach(
        (name, entry) -> {
          if (!isExpired(entry)) {
            regions.put(name, entry.heartbeat.getRegion());
          }
          if (!isAlive(entry, nowNanos)) {
            timedOut.add(name);
          }
        });
    regions.put(settings.host(), settings.region());
    topology = new FleetTopology(regions, timedOut);
  }

  private boolean isAlive(ReceivedHeartbeat entry, long nowNanos) {
    String senderRegion = entry.heartbeat.getRegion();
    FleetTopology fleet = topology;
    boolean near = fleet.isNear(senderRegion, settings.host(), settings.region());
    long period = near ? fleet.nearPeriodMillis(senderRegion) : fleet.farPeriodMillis(senderRegion);
    long maxMissed = fleet.isSmall() ? MAX_MISSED_HEARTBEATS : MAX_MISSED_HEARTBEATS_LARGE_FLEET;
    return nowNanos - entry.receivedNanos <= TimeUnit.MILLISECONDS.toNanos(maxMissed * period);
  }

  @Override
  public String incarnation() {
    return incarnation;
  }

  /**
   * Records a received heartbeat; drops one of this host and an older one of the same incarnation.
   *
   * @return whether this is the first heartbeat of its process
   */
  boolean receive(HostBeat heartbeat) {
    if (heartbeat.getHost().equals(settings.host())) {
      return false;
    }
    ReceivedHeartbeat previous = heartbeats.get(heartbeat.getHost());
    heartbeats.merge(
        heartbeat.getHost(),
        new ReceivedHeartbeat(heartbeat, clock.nanoTime()),
        (old, received) -> {
          boolean sameProcess =
              old.heartbeat.getIncarnation().equals(received.heartbeat.getIncarnation());
          boolean isOlder =
              sameProcess && old.heartbeat.getSequence() >= received.heartbeat.getSequence();
          return isOlder ? old : received;
        });
    return previous == null
        || !previous.heartbeat.getIncarnation().equals(heartbeat.getIncarnation());
  }

  /** Returns the time between two heartbeats of this host, in milliseconds. */
  long heartbeatPeriodMillis() {
    return topology.nearPeriodMillis(settings.region());
  }

  @Override
  public long propagationMillis() {
    return 2 * heartbeatPeriodMillis();
  }

  @Override
  public boolean isSmallFleet() {
    return topology.isSmall();
  }

  @Override
  public String region() {
    return settings.region();
  }

  @Override
  public List<Member> regionMembers() {
    List<HostBeat> others = new ArrayList<>();
    long longest = leaving ? 0 : uptimeMillis();
    for (HostBeat heartbeat : live()) {
      if (heartbeat.getRegion().equals(settings.region()) && !heartbeat.getLeaving()) {
        others.add(heartbeat);
        longest = Math.max(longest, heartbeat.getUptimeMillis());
      }
    }
    long settled =
        Math.min(settings.bounds().quotaWindowMillis(), longest - SETTLED_TOLERANCE_MILLIS);
    List<Member> members = new ArrayList<>();
    if (!leaving) {
      String address = settings.internalAddress() + ":" + settings.peerPort();
      members.add(new Member(settings.host(), incarnation, address, uptimeMillis() >= settled));
    }
    for (HostBeat heartbeat : others) {
      members.add(
          new Member(
              heartbeat.getHost(),
              heartbeat.getIncarnation(),
              heartbeat.getPeerAddress(),
              heartbeat.getUptimeMillis() >= settled));
    }
    return members;
  }

  @Override
  public double aliveFractionOfRegion() {
    return fractionOfRegion(uptime -> 1);
  }

  @Override
  public double windowCoverageOfRegion() {
    double window = Math.max(1, settings.bounds().quotaWindowMillis());
    return fractionOfRegion(uptime -> Math.min(1, uptime / window));
  }

  /**
   * Returns the sum of the weights of the hosts of this region that are alive, this one included,
   * divided by the number of known hosts of the region.
   *
   * @param weight maps an uptime in milliseconds to a weight from 0 to 1
   */
  private double fractionOfRegion(LongToDoubleFunction weight) {
    double sum = weight.applyAsDouble(uptimeMillis());
    for (HostBeat heartbeat : live()) {
      if (heartbeat.getRegion().equals(settings.region())) {
        sum += weight.applyAsDouble(heartbeat.getUptimeMillis());
      }
    }
    return sum / hostsOfRegion().size();
  }

  @Override
  public long silentMillis(String host) {
    ReceivedHeartbeat entry = heartbeats.get(host);
    return entry == null
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - entry.receivedNanos);
  }

  @Override
  public double fractionInRegion() {
    int inRegion = hostsOfRegion().size();
    return inRegion / (double) Math.max(inRegion, count());
  }

  /** Returns the names of the hosts of this region that are registered or alive, and this one. */
  private Set<String> hostsOfRegion() {
    Set<String> names = new HashSet<>();
    names.add(settings.host());
    registered.forEach(
        (name, record) -> {
          if (record.region().equals(settings.region())) {
            names.add(name);
          }
        });
    for (HostBeat heartbeat : live()) {
      if (heartbeat.getRegion().equals(settings.region())) {
        names.add(heartbeat.getHost());
      }
    }
    return names;
  }

  @Override
  public Set<String> regions() {
    Set<String> regions = new HashSet<>();
    regions.add(settings.region());
    registered.values().forEach(record -> regions.add(record.region()));
    heartbeats
        .values()
        .forEach(
            entry -> {
              if (!isExpired(entry)) {
                regions.add(entry.heartbeat.getRegion());
              }
            });
    return regions;
  }

  @Override
  public Map<String, String> hostsIn(String region) {
    long nowNanos = clock.nanoTime();
    Map<String, String> addresses = new HashMap<>();
    registered.forEach(
        (name, record) -> {
          if (record.region().equals(region)) {
            addresses.put(name, record.peerAddress());
          }
        });
    heartbeats.forEach(
        (name, entry) -> {
          if (!entry.heartbeat.getRegion().equals(region)) {
            return;
          }
          if (isAlive(entry, nowNanos)) {
            addresses.put(name, entry.heartbeat.getPeerAddress());
          } else {
            addresses.remove(name);
          }
        });
    return addresses;
  }

  /** Returns whether this host is a hub, which all others send to with the near period. */
  boolean isHub() {
    return topology.isHub(settings.host());
  }

  /** Returns whether a host of this zone whose name sorts before this one's is registered. */
  boolean hasEarlierHostInZone() {
    for (HostRecord record : registered.values()) {
      boolean isInZone = record.zone().equals(settings.zone());
      if (isInZone && record.name().compareTo(settings.host()) < 0) {
        return true;
      }
    }
    return false;
  }

  @Override
  public List<HostBeat> live() {
    long nowNanos = clock.nanoTime();
    List<HostBeat> live = new ArrayList<>();
    for (ReceivedHeartbeat entry : heartbeats.values()) {
      if (isAlive(entry, nowNanos)) {
        live.add(entry.heartbeat);
      }
    }
    return live;
  }

  /**
   * Returns the heartbeats that arrived within a time.
   *
   * @param millis the longest time since the arrival, in milliseconds
   * @return heartbeats of hosts that are alive; may lack some of the far hosts of a large fleet,
   *     since those send in turn only
   */
  List<HostBeat> heartbeatsWithin(long millis) {
    long nowNanos = clock.nanoTime();
    long limit = TimeUnit.MILLISECONDS.toNanos(millis);
    List<HostBeat> recent = new ArrayList<>();
    for (ReceivedHeartbeat entry : heartbeats.values()) {
      if (nowNanos - entry.receivedNanos <= limit && isAlive(entry, nowNanos)) {
        recent.add(entry.heartbeat);
      }
    }
    return recent;
  }

  /** Counts the hosts among which totals are divided: registered, not yet expired, and this one. */
  @Override
  public int count() {
    Set<String> names = new HashSet<>(registered.keySet());
    names.add(settings.host());
    for (Map.Entry<String, ReceivedHeartbeat> entry : heartbeats.entrySet()) {
      if (!isExpired(entry.getValue())) {
        names.add(entry.getKey());
      }
    }
    return names.size();
  }

  /** Returns the number of hosts known at the last heartbeat, this one included; at least 1. */
  int fleetSize() {
    return Math.max(1, topology.hostCount());
  }

  private boolean isExpired(ReceivedHeartbeat entry) {
    long millis =
        Math.max(HOST_EXPIRY_MILLIS, 2 * topology.farPeriodMillis(entry.heartbeat.getRegion()));
    return clock.nanoTime() - entry.receivedNanos > TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Returns the addresses that each heartbeat is sent to, by host name. */
  Map<String, String> nearAddresses() {
    return addresses(true);
  }

  /** Returns the addresses that heartbeats are sent to in turn, by host name. */
  Map<String, String> farAddresses() {
    return addresses(false);
  }

  /** Returns the number of far hosts that each heartbeat is sent to. */
  int farHostsPerHeartbeat() {
    return topology.farHostsPerHeartbeat(settings.region());
  }

  private Map<String, String> addresses(boolean near) {
    Map<String, String> addresses = new TreeMap<>();
    FleetTopology fleet = topology;
    String region = settings.region();
    registered.forEach(
        (name, record) -> {
          if (fleet.isNear(region, name, record.region()) == near) {
            addresses.put(name, record.peerAddress());
          }
        });
    heartbeats.forEach(
        (name, entry) -> {
          boolean isSelected = fleet.isNear(region, name, entry.heartbeat.getRegion()) == near;
          if (isSelected && !isExpired(entry)) {
            addresses.put(name, entry.heartbeat.getPeerAddress());
          }
        });
    addresses.remove(settings.host());
    return addresses;
  }

  /**
   * Returns whether this host is among the few that may send requests to a cold target.
   *
   * <p>These are the registered hosts of the target's region with the lowest hash; hosts of all
   * regions if none is registered in that region.
   */
  boolean isWarmUpOwner(long targetHash, String region) {
    long ownRank = Hashing.mix(Hashing.of(settings.host()) ^ targetHash);
    int lowerRanked = 0;
    boolean regionHasHosts = false;
    for (HostRecord record : registered.values()) {
      regionHasHosts |= record.region().equals(region);
    }
    if (regionHasHosts && !settings.region().equals(region)) {
      return false;
    }
    for (HostRecord record : registered.values()) {
      boolean counts = !regionHasHosts || record.region().equals(region);
      if (counts && Hashing.mix(Hashing.of(record.name()) ^ targetHash) < ownRank) {
        lowerRanked++;
      }
    }
    return lowerRanked < WARM_UP_OWNERS;
  }

  static int warmUpOwners() {
    return WARM_UP_OWNERS;
  }

  /**
   * Returns whether this host has the lowest name among the hosts that are alive, ready and not
   * leaving, and reach the store.
   *
   * @param storeReachable whether the store answers this host; if not, it is never the leader
   */
  boolean isLeader(boolean storeReachable) {
    if (!storeReachable) {
      return false;
    }
    for (HostBeat heartbeat : live()) {
      boolean isCandidate =
          heartbeat.getStoreReachable() && !heartbeat.getLeaving() && heartbeat.getReady();
      if (isCandidate && heartbeat.getHost().compareTo(settings.host()) < 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the names of registered hosts without a heartbeat for a time, without this host.
   *
   * @param millis the time in milliseconds
   * @param sinceStartNanos counts as the last heartbeat of hosts that never sent one, in ns
   */
  List<String> hostsWithoutHeartbeat(long millis, long sinceStartNanos) {
    List<String> timedOut = new ArrayList<>();
    long nowNanos = clock.nanoTime();
    long limit = TimeUnit.MILLISECONDS.toNanos(millis);
    for (String name : registered.keySet()) {
      ReceivedHeartbeat entry = heartbeats.get(name);
      long lastReceivedNanos = entry == null ? sinceStartNanos : entry.receivedNanos;
      if (!name.equals(settings.host()) && nowNanos - lastReceivedNanos > limit) {
        timedOut.add(name);
      }
    }
    return timedOut;
  }

  @Nullable HostRecord registered(String name) {
    return registered.get(name);
  }

  /** Logs hosts that became alive or timed out since the last call. */
  void logChanges() {
    Set<String> alive = new HashSet<>();
    for (HostBeat heartbeat : live()) {
      alive.add(heartbeat.getHost());
    }
    for (String name : alive) {
      if (reportedAlive.add(name)) {
        log(name, true);
      }
    }
    for (String name : List.copyOf(reportedAlive)) {
      if (!alive.contains(name)) {
        reportedAlive.remove(name);
        log(name, false);
      }
    }
  }

  private void log(String name, boolean isAlive) {
    ReceivedHeartbeat entry = heartbeats.get(name);
    long ageMillis = entry == null ? -1 : (clock.nanoTime() - entry.receivedNanos) / 1_000_000;
    String hostIncarnation = entry == null ? "" : entry.heartbeat.getIncarnation();
    events.log(SteeringEvent.PEER_CHANGED, name, hostIncarnation, isAlive, ageMillis);
  }
}
