package verbenahatch.steering;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Hashing;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.SteeringSettings;

/**
 * Holds the hosts that are registered in the store and those whose beats arrive.
 *
 * <p>Thread-safe. A host lives while its beats arrive; a record alone proves nothing.
 */
final class HostTable {

  /** Time between beats in a small fleet, in milliseconds. */
  static final long MIN_BEAT_MILLIS = 400;

  /** Datagrams per second that a host sends at most; bounds the cost in a large fleet. */
  static final int MAX_BEATS_PER_SECOND = 48;

  /** A host is no longer heard after this many periods without a beat. */
  private static final int MISSED_BEATS = 4;

  /** Hosts that share the requests a cold target tolerates. */
  private static final int WARM_UP_OWNERS = 3;

  /** A host that was heard before is still sent beats for this time after its last one. */
  private static final long FORGET_MILLIS = 20_000;

  private record Heard(HostBeat beat, long atNanos) {}

  private final Clock clock;
  private final Events events;
  private final SteeringSettings settings;
  private final String incarnation;
  private final Map<String, Heard> heard = new ConcurrentHashMap<>();
  private volatile Map<String, HostRecord> registered = Map.of();
  private final Set<String> reportedLive = new HashSet<>();

  HostTable(Clock clock, Events events, SteeringSettings settings, String incarnation) {
    this.clock = clock;
    this.events = events;
    this.settings = settings;
    this.incarnation = incarnation;
  }

  void register(Map<String, HostRecord> records) {
    registered = Map.copyOf(records);
  }

  String incarnation() {
    return incarnation;
  }

  /** Takes a beat; an older one of the same incarnation is dropped. */
  void receive(HostBeat beat) {
    if (beat.getHost().equals(settings.host())) {
      return;
    }
    heard.merge(
        beat.getHost(),
        new Heard(beat, clock.nanoTime()),
        (old, fresh) -> {
          boolean sameProcess = old.beat.getIncarnation().equals(fresh.beat.getIncarnation());
          boolean older = sameProcess && old.beat.getSequence() >= fresh.beat.getSequence();
          return older ? old : fresh;
        });
  }

  long beatMillis() {
    return Math.max(MIN_BEAT_MILLIS, count() * 1_000L / MAX_BEATS_PER_SECOND);
  }

  /** Returns the beats of the hosts that live, this one excluded. */
  List<HostBeat> live() {
    long limit = TimeUnit.MILLISECONDS.toNanos(MISSED_BEATS * beatMillis());
    long now = clock.nanoTime();
    List<HostBeat> live = new ArrayList<>();
    for (Heard entry : heard.values()) {
      if (now - entry.atNanos <= limit) {
        live.add(entry.beat);
      }
    }
    return live;
  }

  /** Counts the hosts among which totals are divided: registered or heard, and this one. */
  int count() {
    Set<String> names = new HashSet<>(registered.keySet());
    names.add(settings.host());
    for (Map.Entry<String, Heard> entry : heard.entrySet()) {
      if (!isForgotten(entry.getValue())) {
        names.add(entry.getKey());
      }
    }
    return names.size();
  }

  private boolean isForgotten(Heard entry) {
    long age = clock.nanoTime() - entry.atNanos;
    return age > TimeUnit.MILLISECONDS.toNanos(FORGET_MILLIS);
  }

  /** Returns the addresses to which beats go, by host name. */
  Map<String, String> peerAddresses() {
    Map<String, String> addresses = new TreeMap<>();
    registered.forEach((name, record) -> addresses.put(name, record.peerAddress()));
    heard.forEach(
        (name, entry) -> {
          if (!isForgotten(entry)) {
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
