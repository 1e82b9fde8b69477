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
 * Holds the hosts that are registered in the store and those whose beats arrive.
 *
 * <p>Thread-safe. A host lives while its beats arrive; a record alone proves nothing.
 */
final class HostTable implements QuotaFleet {

  /** A host is no longer heard after this many periods without a beat. */
  private static final int MISSED_BEATS = 4;

  /** The same in a large fleet, whose beats are further apart. */
  private static final int LARGE_MISSED_BEATS = 3;

  /** Hosts that share the requests a cold target tolerates. */
  private static final int WARM_UP_OWNERS = 3;

  /** A host that was heard before is still sent beats for this time after its last one. */
  private static final long FORGET_MILLIS = 20_000;

  private record Heard(HostBeat beat, long atNanos) {}

  private final Clock clock;
  private final Events events;
  private final SteeringSettings settings;
  private final String incarnation;
  private final long startNanos;
  private volatile boolean leaving;
  private final Map<String, Heard> heard = new ConcurrentHashMap<>();
  private volatile Map<String, HostRecord> registered = Map.of();
  private volatile FleetShape shape = new FleetShape(Map.of(), Set.of());
  private final Set<String> reportedLive = new HashSet<>();

  HostTable(Clock clock, Events events, SteeringSettings settings, String incarnation) {
    this.clock = clock;
    this.events = events;
    this.settings = settings;
    this.incarnation = incarnation;
    this.startNanos = clock.nanoTime();
  }

  /** Notes that this host is about to end. */
  void leave() {
    leaving = true;
  }

  /** Returns the time since the start of this process in milliseconds. */
  long uptimeMillis() {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - startNanos);
  }

  private boolean isSettled(long uptimeMillis) {
    return uptimeMillis >= settings.bounds().quotaWindowMillis();
  }

  void register(Map<String, HostRecord> records) {
    registered = Map.copyOf(records);
    refreshShape();
  }

  /** Takes the known hosts into account for the pace of beats. */
  void refreshShape() {
    Map<String, String> regions = new HashMap<>();
    Set<String> silent = new HashSet<>();
    registered.forEach((name, record) -> regions.put(name, record.region()));
    long now = clock.nanoTime();
    heard.forEach(
        (name, entry) -> {
          if (!isForgotten(entry)) {
            regions.put(name, entry.beat.getRegion());
          }
          if (!isHeard(entry, now)) {
            silent.add(name);
          }
        });
    regions.put(settings.host(), settings.region());
    shape = new FleetShape(regions, silent);
  }

  private boolean isHeard(Heard entry, long now) {
    String from = entry.beat.getRegion();
    FleetShape fleet = shape;
    boolean near = fleet.isNear(from, settings.host(), settings.region());
    long period = near ? fleet.nearMillis(from) : fleet.farMillis(from);
    long missed = fleet.isSmall() ? MISSED_BEATS : LARGE_MISSED_BEATS;
    return now - entry.atNanos <= TimeUnit.MILLISECONDS.toNanos(missed * period);
  }

  @Override
  public String incarnation() {
    return incarnation;
  }

  /**
   * Takes a beat; an older one of the same incarnation is dropped.
   *
   * @return whether this is the first beat of its process
   */
  boolean receive(HostBeat beat) {
    if (beat.getHost().equals(settings.host())) {
      return false;
    }
    Heard known = heard.get(beat.getHost());
    heard.merge(
        beat.getHost(),
        new Heard(beat, clock.nanoTime()),
        (old, fresh) -> {
          boolean sameProcess = old.beat.getIncarnation().equals(fresh.beat.getIncarnation());
          boolean older = sameProcess && old.beat.getSequence() >= fresh.beat.getSequence();
          return older ? old : fresh;
        });
    return known == null || !known.beat.getIncarnation().equals(beat.getIncarnation());
  }

  /** Returns the time between two beats of this host, in milliseconds. */
  long beatMillis() {
    return shape.nearMillis(settings.region());
  }

  @Override
  public long propagationMillis() {
    return 2 * beatMillis();
  }

  @Override
  public boolean isSmallFleet() {
    return shape.isSmall();
  }

  @Override
  public String region() {
    return settings.region();
  }

  @Override
  public List<Member> regionMembers() {
    List<Member> members = new ArrayList<>();
    if (!leaving) {
      String address = settings.internalAddress() + ":" + settings.peerPort();
      members.add(new Member(settings.host(), incarnation, address, isSettled(uptimeMillis())));
    }
    for (HostBeat beat : live()) {
      if (beat.getRegion().equals(settings.region()) && !beat.getLeaving()) {
        boolean settled = isSettled(beat.getUptimeMillis());
        members.add(
            new Member(beat.getHost(), beat.getIncarnation(), beat.getPeerAddress(), settled));
      }
    }
    return members;
  }

  @Override
  public double aliveFractionOfRegion() {
    return partOfRegion(uptime -> 1);
  }

  @Override
  public double windowCoverageOfRegion() {
    double window = Math.max(1, settings.bounds().quotaWindowMillis());
    return partOfRegion(uptime -> Math.min(1, uptime / window));
  }

  /** Sums the weights of the heard hosts of this region by uptime, relative to all known ones. */
  private double partOfRegion(LongToDoubleFunction weight) {
    Set<String> known = new HashSet<>();
    known.add(settings.host());
    registered.forEach(
        (name, record) -> {
          if (record.region().equals(settings.region())) {
            known.add(name);
          }
        });
    double sum = weight.applyAsDouble(uptimeMillis());
    for (HostBeat beat : live()) {
      if (beat.getRegion().equals(settings.region())) {
        known.add(beat.getHost());
        sum += weight.applyAsDouble(beat.getUptimeMillis());
      }
    }
    return sum / known.size();
  }

  @Override
  public Set<String> regions() {
    Set<String> regions = new HashSet<>();
    regions.add(settings.region());
    registered.values().forEach(record -> regions.add(record.region()));
    heard
        .values()
        .forEach(
            entry -> {
              if (!isForgotten(entry)) {
                regions.add(entry.beat.getRegion());
              }
            });
    return regions;
  }

  @Override
  public Map<String, String> hostsIn(String region) {
    long now = clock.nanoTime();
    Map<String, String> addresses = new HashMap<>();
    registered.forEach(
        (name, record) -> {
          if (record.region().equals(region)) {
            addresses.put(name, record.peerAddress());
          }
        });
    heard.forEach(
        (name, entry) -> {
          if (!entry.beat.getRegion().equals(region)) {
            return;
          }
          if (isHeard(entry, now)) {
            addresses.put(name, entry.beat.getPeerAddress());
          } else {
            addresses.remove(name);
          }
        });
    return addresses;
  }

  /** Tells whether this host is one of those that hear all others and write for the fleet. */
  boolean isHub() {
    return shape.isHub(settings.host());
  }

  /** Tells whether a host of this zone whose name comes before this one's is registered. */
  boolean hasZoneHostBefore() {
    for (HostRecord record : registered.values()) {
      boolean inZone = record.zone().equals(settings.zone());
      if (inZone && record.name().compareTo(settings.host()) < 0) {
        return true;
      }
    }
    return false;
  }

  @Override
  public List<HostBeat> live() {
    long now = clock.nanoTime();
    List<HostBeat> live = new ArrayList<>();
    for (Heard entry : heard.values()) {
      if (isHeard(entry, now)) {
        live.add(entry.beat);
      }
    }
    return live;
  }

  /**
   * Returns the beats that arrived a short time ago.
   *
   * @param millis the longest age in milliseconds
   * @return beats of hosts that live; far hosts of a large fleet are heard in turn only
   */
  List<HostBeat> heardWithin(long millis) {
    long now = clock.nanoTime();
    long limit = TimeUnit.MILLISECONDS.toNanos(millis);
    List<HostBeat> recent = new ArrayList<>();
    for (Heard entry : heard.values()) {
      if (now - entry.atNanos <= limit && isHeard(entry, now)) {
        recent.add(entry.beat);
      }
    }
    return recent;
  }

  /** Counts the hosts among which totals are divided: registered or heard, and this one. */
  @Override
  public int count() {
    Set<String> names = new HashSet<>(registered.keySet());
    names.add(settings.host());
    for (Map.Entry<String, Heard> entry : heard.entrySet()) {
      if (!isForgotten(entry.getValue())) {
        names.add(entry.getKey());
      }
    }
    return names.size();
  }

  /** Returns the number of known hosts as of the last beat, this one included; at least 1. */
  int fleetSize() {
    return Math.max(1, shape.count());
  }

  private boolean isForgotten(Heard entry) {
    long millis = Math.max(FORGET_MILLIS, 2 * shape.farMillis(entry.beat.getRegion()));
    return clock.nanoTime() - entry.atNanos > TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Returns the addresses to which each beat goes, by host name. */
  Map<String, String> nearAddresses() {
    return addresses(true);
  }

  /** Returns the addresses to which beats go in turn, by host name. */
  Map<String, String> farAddresses() {
    return addresses(false);
  }

  /** Returns how many far hosts a beat goes to. */
  int farPerBeat() {
    return shape.farPerBeat(settings.region());
  }

  private Map<String, String> addresses(boolean near) {
    Map<String, String> addresses = new TreeMap<>();
    FleetShape fleet = shape;
    String region = settings.region();
    registered.forEach(
        (name, record) -> {
          if (fleet.isNear(region, name, record.region()) == near) {
            addresses.put(name, record.peerAddress());
          }
        });
    heard.forEach(
        (name, entry) -> {
          boolean wanted = fleet.isNear(region, name, entry.beat.getRegion()) == near;
          if (wanted && !isForgotten(entry)) {
            addresses.put(name, entry.beat.getPeerAddress());
          }
        });
    addresses.remove(settings.host());
    return addresses;
  }

  /** Tells whether this host is among the few that may send requests to a cold target. */
  boolean isWarmUpOwner(long targetHash, String region) {
    long own = Hashing.mix(Hashing.of(settings.host()) ^ targetHash);
    int before = 0;
    boolean regionHasHosts = false;
    for (HostRecord record : registered.values()) {
      regionHasHosts |= record.region().equals(region);
    }
    if (regionHasHosts && !settings.region().equals(region)) {
      return false;
    }
    for (HostRecord record : registered.values()) {
      boolean counts = !regionHasHosts || record.region().equals(region);
      if (counts && Hashing.mix(Hashing.of(record.name()) ^ targetHash) < own) {
        before++;
      }
    }
    return before < WARM_UP_OWNERS;
  }

  static int warmUpOwners() {
    return WARM_UP_OWNERS;
  }

  /** Tells whether this host has the lowest name among those that live and reach the store. */
  boolean leads(boolean storeReachable) {
    if (!storeReachable) {
      return false;
    }
    for (HostBeat beat : live()) {
      boolean able = beat.getStoreReachable() && !beat.getLeaving() && beat.getReady();
      if (able && beat.getHost().compareTo(settings.host()) < 0) {
        return false;
      }
    }
    return true;
  }

  /** Returns the names of registered hosts that were not heard for a time. */
  List<String> silentFor(long millis, long sinceStartNanos) {
    List<String> silent = new ArrayList<>();
    long now = clock.nanoTime();
    long limit = TimeUnit.MILLISECONDS.toNanos(millis);
    for (String name : registered.keySet()) {
      Heard entry = heard.get(name);
      long since = entry == null ? sinceStartNanos : entry.atNanos;
      if (!name.equals(settings.host()) && now - since > limit) {
        silent.add(name);
      }
    }
    return silent;
  }

  @Nullable HostRecord registered(String name) {
    return registered.get(name);
  }

  /** Logs hosts that became heard or silent. */
  void logChanges() {
    Set<String> now = new HashSet<>();
    for (HostBeat beat : live()) {
      now.add(beat.getHost());
    }
    for (String name : now) {
      if (reportedLive.add(name)) {
        log(name, true);
      }
    }
    for (String name : List.copyOf(reportedLive)) {
      if (!now.contains(name)) {
        reportedLive.remove(name);
        log(name, false);
      }
    }
  }

  private void log(String name, boolean isHeard) {
    Heard entry = heard.get(name);
    long age = entry == null ? -1 : (clock.nanoTime() - entry.atNanos) / 1_000_000;
    String process = entry == null ? "" : entry.beat.getIncarnation();
    events.log(SteeringEvent.PEER_CHANGED, name, process, isHeard, age);
  }
}
