package verbenahatch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;
import verbenahatch.store.WatchBatch;

/**
 * Reads changes from the store while this host is the watcher of its zone.
 *
 * <p>There is one watch per prefix, because a single watch over all names would return at every
 * idempotency claim that a request writes. Each prefix is watched by one thread at a time.
 */
final class StoreWatcher {

  private static final String MEMBERS_PREFIX = "members/";

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final StoreAccess store;
  private final Map<String, Long> resumeVersions = new ConcurrentHashMap<>();
  private final Map<String, Long> listedAtNanos = new ConcurrentHashMap<>();

  StoreWatcher(FleetCore core, ReplicatedObjects objects, StoreAccess store) {
    this.core = core;
    this.objects = objects;
    this.store = store;
  }

  List<String> prefixes() {
    List<String> prefixes = new ArrayList<>(objects.prefixes());
    prefixes.add(MEMBERS_PREFIX);
    return List.copyOf(prefixes);
  }

  /**
   * Returns whether this host watches the store for its zone. The watcher is the first member of
   * the zone by rendezvous hashing that is in contact and to which the store is available. If it is
   * available to none, the first member in contact attempts to watch.
   */
  boolean isWatcher() {
    Member self = core.self();
    if (!core.isMember()) {
      return false;
    }
    List<Member> zoneMembers =
        core.record().members().stream()
            .filter(m -> m.zone().equals(self.zone()))
            .filter(m -> core.isInContact(m.incarnation()))
            .toList();
    List<Member> withStoreAccess =
        zoneMembers.stream()
            .filter(
                m ->
                    m.incarnation().equals(self.incarnation())
                        ? !store.isDown()
                        : !core.isStoreDownAt(m.incarnation()))
            .toList();
    Optional<Member> watcher =
        Rendezvous.first(
            "watcher/" + self.zone(), withStoreAccess.isEmpty() ? zoneMembers : withStoreAccess);
    return watcher.isPresent() && watcher.get().incarnation().equals(self.incarnation());
  }

  /** Reads every prefix once, as needed before this host joins. Returns false if a read failed. */
  boolean readAll() {
    boolean complete = true;
    for (String prefix : prefixes()) {
      complete &= list(prefix);
    }
    return complete;
  }

  /**
   * Watches one prefix once, or lists it if {@link Timing#RELIST_INTERVAL} has passed.
   *
   * @param prefix one of {@link #prefixes()}
   * @param maxWait the longest time to block
   * @return false if the store was unavailable
   */
  boolean watch(String prefix, Duration maxWait) {
    long nowNanos = core.clock().nanoTime();
    Long lastListedNanos = listedAtNanos.get(prefix);
    if (lastListedNanos == null || nowNanos - lastListedNanos >= Timing.RELIST_INTERVAL.toNanos()) {
      return list(prefix);
    }
    Result<WatchBatch, StoreError> result =
        store.watch(prefix, resumeVersions.getOrDefault(prefix, 0L), maxWait);
    if (!(result instanceof Result.Ok<WatchBatch, StoreError> ok)) {
      listedAtNanos.remove(prefix);
      return false;
    }
    ok.value().changed().forEach(this::offer);
    resumeVersions.put(prefix, ok.value().resumeVersion());
    return true;
  }

  private boolean list(String prefix) {
    Result<List<StoredObject>, StoreError> result = store.list(prefix);
    if (!(result instanceof Result.Ok<List<StoredObject>, StoreError> ok)) {
      return false;
    }
    long newest = 0;
    for (StoredObject object : ok.value()) {
      offer(object);
      newest = Math.max(newest, object.version());
    }
    resumeVersions.put(prefix, newest);
    listedAtNanos.put(prefix, core.clock().nanoTime());
    return true;
  }

  private void offer(StoredObject object) {
    if (!object.name().equals(MembersRecord.NAME)) {
      objects.offer(object.name(), object.value(), ReplicatedObjects.STORE);
      return;
    }
    try {
      core.adopt(MembersRecord.read(object.value()));
    } catch (JsonException e) {
      core.events()
          .log(FleetEvent.OBJECT_INVALID, object.name(), ReplicatedObjects.STORE, e.toString());
    }
  }
}
