package verbenahatch.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.TargetUse;
import verbenahatch.steering.model.TargetRecord;

/**
 * Holds the targets of the registry.
 *
 * <p>Thread-safe; readers see lists that are replaced as a whole. After an outage of the registry a
 * missing entry is kept for the time in which running targets register again.
 */
final class TargetTable {

  /** Number of leaving targets that are remembered after their entries are gone. */
  private static final int MAX_LEAVING_REMEMBERED = 4_096;

  /** Time after an outage in which running targets with expired entries register again. */
  static final long REREGISTRATION_MILLIS = 2_000;

  private final Clock clock;
  private final Events events;
  private final Map<String, String> regionsByZone;
  private final double maxRegionShift;
  private final Map<String, ServiceTargets> services = new ConcurrentHashMap<>();
  private final Map<String, Target> byId = new HashMap<>();
  private final Map<String, Long> missingUntilNanos = new HashMap<>();
  private final RestoredDrains drains = new RestoredDrains();

  /**
   * Start times, by id, of targets that announced their stop. An entry may expire in an outage of
   * the registry and be written again; the target is still about to stop then.
   */
  private final Map<String, Long> leavingStartMillis =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_LEAVING_REMEMBERED;
        }
      };

  private volatile Set<String> evacuated = Set.of();
  private long graceEndNanos;
  private boolean hadOutage;

  TargetTable(
      Clock clock, Events events, Map<String, String> regionsByZone, double maxRegionShift) {
    this.clock = clock;
    this.events = events;
    this.regionsByZone = regionsByZone;
    this.maxRegionShift = maxRegionShift;
  }

  /** Replaces all entries by the given ones, keyed by target id. */
  synchronized void replace(Map<String, TargetRecord> records) {
    Set<String> removedIds = new HashSet<>(byId.keySet());
    removedIds.removeAll(records.keySet());
    applyChanges(records.values(), removedIds);
  }

  /** Applies changes of the registry: entries written and ids of entries removed. */
  synchronized void applyChanges(Collection<TargetRecord> written, Collection<String> removedIds) {
    long now = clock.nanoTime();
    for (TargetRecord record : written) {
      put(record, now);
    }
    boolean inGracePeriod = hadOutage && now - graceEndNanos < 0;
    for (String id : removedIds) {
      if (inGracePeriod && byId.containsKey(id)) {
        missingUntilNanos.putIfAbsent(id, graceEndNanos);
      } else {
        remove(id);
      }
    }
    rebuild();
  }

  /** Updates the requests in flight of other hosts and returns those of this host. */
  synchronized List<TargetUse> exchangeUse(List<HostBeat> heartbeats) {
    Map<Long, Integer> inFlightByIdHash = new HashMap<>();
    for (HostBeat heartbeat : heartbeats) {
      for (TargetUse use : heartbeat.getUsesList()) {
        inFlightByIdHash.merge(use.getTarget(), use.getInFlight(), Integer::sum);
      }
    }
    List<TargetUse> ownUses = new ArrayList<>();
    for (Target target : byId.values()) {
      target.setPeerInFlight(inFlightByIdHash.getOrDefault(target.idHash, 0));
      int inFlight = target.inFlight.get();
      if (inFlight > 0) {
        ownUses.add(TargetUse.newBuilder().setTarget(target.idHash).setInFlight(inFlight).build());
      }
    }
    return ownUses;
  }

  /**
   * Records that the registry is reachable again after an outage.
   *
   * @param sinceNanos the time of the monotonic clock since which it is reachable, in ns
   */
  synchronized void registryRecovered(long sinceNanos) {
    hadOutage = true;
    graceEndNanos = sinceNanos + TimeUnit.MILLISECONDS.toNanos(REREGISTRATION_MILLIS);
  }

  /**
   * Records that the store came back from a backup; must be called before its first list.
   *
   * <p>Targets register again what the backup lacks, and those that drained are still about to stop
   * if it shows them as ready.
   */
  synchronized void storeRestored() {
    registryRecovered(clock.nanoTime());
    drains.storeRestored(clock.nanoTime());
  }

  /**
   * Removes missing entries whose targets did not register again in time, and ends the hold of
   * targets that the store shows as ready long after a restore.
   */
  synchronized void expire() {
    long now = clock.nanoTime();
    List<TargetRecord> released = drains.expire(now);
    if (missingUntilNanos.isEmpty() && released.isEmpty()) {
      return;
    }
    released.forEach(record -> put(record, now));
    List<String> expired = new ArrayList<>();
    missingUntilNanos.forEach(
        (id, untilNanos) -> {
          if (now - untilNanos >= 0) {
            expired.add(id);
          }
        });
    expired.forEach(this::remove);
    if (!expired.isEmpty() || !released.isEmpty()) {
      rebuild();
    }
  }

  private void put(TargetRecord shown, long now) {
    TargetRecord record = drains.apply(shown);
    missingUntilNanos.remove(record.id());
    Target existing = byId.get(record.id());
    boolean sameIncarnation = existing != null && existing.record().isSameIncarnation(record);
    if (sameIncarnation && existing != null) {
      boolean startsDraining = record.draining() && !existing.record().draining();
      existing.update(record, now);
      if (startsDraining) {
        log(record, "draining");
      }
      return;
    }
    if (existing != null) {
      existing.markRemoved();
    }
    String region = regionsByZone.getOrDefault(record.zone(), "");
    Target target = new Target(record, region, now);
    if (Long.valueOf(record.startedWallMillis()).equals(leavingStartMillis.get(record.id()))) {
      target.markLeaving();
    } else {
      leavingStartMillis.remove(record.id());
    }
    byId.put(record.id(), target);
    log(record, existing == null ? "added" : "restarted");
  }

  /** Uses a target no longer, because it announced in a response that it is about to stop. */
  void markLeaving(Target target) {
    if (!target.markLeaving()) {
      return;
    }
    TargetRecord record = target.record();
    synchronized (this) {
      leavingStartMillis.put(record.id(), record.startedWallMillis());
    }
    log(record, "leaving");
  }

  private void remove(String id) {
    missingUntilNanos.remove(id);
    drains.remove(id);
    Target existing = byId.remove(id);
    if (existing != null) {
      existing.markRemoved();
      log(existing.record(), "removed");
    }
  }

  private void log(TargetRecord record, String change) {
    events.log(
        SteeringEvent.TARGET_CHANGED,
        record.id(),
        record.service(),
        change,
        record.version(),
        record.coldMillis());
  }

  private void rebuild() {
    Map<String, List<Target>> targetsByService = new HashMap<>();
    for (Target target : byId.values()) {
      targetsByService
          .computeIfAbsent(target.record().service(), s -> new ArrayList<>())
          .add(target);
    }
    for (ServiceTargets service : services.values()) {
      service.targets = List.copyOf(targetsByService.getOrDefault(service.name, List.of()));
    }
    targetsByService.forEach((name, list) -> service(name).targets = List.copyOf(list));
  }

  /** Returns the targets of a service; its list is empty if the service is unknown. */
  ServiceTargets service(String name) {
    return services.computeIfAbsent(name, n -> new ServiceTargets(n, maxRegionShift));
  }

  /** Returns the targets of a service, null if it is unknown; creates nothing. */
  @Nullable ServiceTargets find(String name) {
    return services.get(name);
  }

  synchronized @Nullable Target byId(String id) {
    return byId.get(id);
  }

  synchronized int size() {
    return byId.size();
  }

  /** Sets the evacuated zones; targets of a zone no longer evacuated are cold for a time in ms. */
  synchronized void evacuate(Set<String> zones, long coldMillis) {
    Set<String> restored = new HashSet<>(evacuated);
    restored.removeAll(zones);
    long now = clock.nanoTime();
    for (Target target : byId.values()) {
      if (restored.contains(target.record().zone())) {
        target.extendCold(coldMillis, now);
      }
    }
    for (String zone : restored) {
      events.log(SteeringEvent.EVACUATION, zone, false);
    }
    for (String zone : zones) {
      if (!evacuated.contains(zone)) {
        events.log(SteeringEvent.EVACUATION, zone, true);
      }
    }
    evacuated = Set.copyOf(zones);
  }

  boolean isEvacuated(String zone) {
    return evacuated.contains(zone);
  }

  Set<String> evacuated() {
    return evacuated;
  }
}
