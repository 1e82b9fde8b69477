package verbenahatch.steering;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
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
 * <p>Thread-safe; readers see lists that are replaced whole. After an outage of the registry an
 * entry that is missing is kept for the time in which living targets write theirs again.
 */
final class TargetTable {

  /** Living targets whose entries lapsed in an outage have written them again after this time. */
  static final long RETURN_MILLIS = 2_000;

  private final Clock clock;
  private final Events events;
  private final Map<String, String> regionsByZone;
  private final double maxRegionShift;
  private final Map<String, ServiceTargets> services = new ConcurrentHashMap<>();
  private final Map<String, Target> byId = new HashMap<>();
  private final Map<String, Long> missing = new HashMap<>();
  private volatile Set<String> evacuated = Set.of();
  private long returnNanos;
  private boolean inReturn;

  TargetTable(
      Clock clock, Events events, Map<String, String> regionsByZone, double maxRegionShift) {
    this.clock = clock;
    this.events = events;
    this.regionsByZone = regionsByZone;
    this.maxRegionShift = maxRegionShift;
  }

  /** Replaces all entries by those of a list. */
  synchronized void replace(Map<String, TargetRecord> records) {
    Set<String> gone = new HashSet<>(byId.keySet());
    gone.removeAll(records.keySet());
    applyChanges(records.values(), gone);
  }

  /** Applies changes of the registry. */
  synchronized void applyChanges(Collection<TargetRecord> written, Collection<String> gone) {
    long now = clock.nanoTime();
    for (TargetRecord record : written) {
      put(record, now);
    }
    boolean returning = inReturn && now - returnNanos < 0;
    for (String id : gone) {
      if (returning && byId.containsKey(id)) {
        missing.putIfAbsent(id, returnNanos);
      } else {
        remove(id);
      }
    }
    rebuild();
  }

  /** Takes over what other hosts have in flight, and lists what this host has. */
  synchronized List<TargetUse> exchangeUse(List<HostBeat> beats) {
    Map<Long, Integer> sums = new HashMap<>();
    for (HostBeat beat : beats) {
      for (TargetUse use : beat.getUsesList()) {
        sums.merge(use.getTarget(), use.getInFlight(), Integer::sum);
      }
    }
    List<TargetUse> own = new ArrayList<>();
    for (Target target : byId.values()) {
      target.usedByPeers(sums.getOrDefault(target.idHash, 0));
      int inFlight = target.inFlight.get();
      if (inFlight > 0) {
        own.add(TargetUse.newBuilder().setTarget(target.idHash).setInFlight(inFlight).build());
      }
    }
    return own;
  }

  /**
   * Tells that the registry answers again after an outage.
   *
   * @param sinceNanos the time since which it does
   */
  synchronized void registryRecovered(long sinceNanos) {
    inReturn = true;
    returnNanos = sinceNanos + TimeUnit.MILLISECONDS.toNanos(RETURN_MILLIS);
  }

  /** Drops entries that did not come back. */
  synchronized void expire() {
    if (missing.isEmpty()) {
      return;
    }
    long now = clock.nanoTime();
    List<String> over = new ArrayList<>();
    missing.forEach(
        (id, until) -> {
          if (now - until >= 0) {
            over.add(id);
          }
        });
    over.forEach(this::remove);
    if (!over.isEmpty()) {
      rebuild();
    }
  }

  private void put(TargetRecord record, long now) {
    missing.remove(record.id());
    Target known = byId.get(record.id());
    boolean same =
        known != null
            && known.record().startedWallMillis() == record.startedWallMillis()
            && known.record().service().equals(record.service())
            && known.record().address().equals(record.address())
            && known.record().port() == record.port();
    if (same && known != null) {
      boolean drains = record.draining() && !known.record().draining();
      known.update(record, now);
      if (drains) {
        log(record, "draining");
      }
      return;
    }
    if (known != null) {
      known.markGone();
    }
    String region = regionsByZone.getOrDefault(record.zone(), "");
    byId.put(record.id(), new Target(record, region, now));
    log(record, known == null ? "added" : "restarted");
  }

  private void remove(String id) {
    missing.remove(id);
    Target known = byId.remove(id);
    if (known != null) {
      known.markGone();
      log(known.record(), "removed");
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
    Map<String, List<Target>> lists = new HashMap<>();
    for (Target target : byId.values()) {
      lists.computeIfAbsent(target.record().service(), s -> new ArrayList<>()).add(target);
    }
    for (ServiceTargets service : services.values()) {
      service.targets = List.copyOf(lists.getOrDefault(service.name, List.of()));
    }
    lists.forEach((name, list) -> service(name).targets = List.copyOf(list));
  }

  /** Returns the targets of a service, none if it is unknown. */
  ServiceTargets service(String name) {
    return services.computeIfAbsent(name, n -> new ServiceTargets(n, maxRegionShift));
  }

  synchronized @Nullable Target byId(String id) {
    return byId.get(id);
  }

  synchronized int size() {
    return byId.size();
  }

  /** Sets the zones to which nothing may be sent; targets of a zone taken back count as cold. */
  synchronized void evacuate(Set<String> zones, long coldMillis) {
    Set<String> back = new HashSet<>(evacuated);
    back.removeAll(zones);
    long now = clock.nanoTime();
    for (Target target : byId.values()) {
      if (back.contains(target.record().zone())) {
        target.coldFor(coldMillis, now);
      }
    }
    for (String zone : back) {
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
