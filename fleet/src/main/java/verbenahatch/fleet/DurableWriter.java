package verbenahatch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.model.KeyRecord;
import verbenahatch.model.KeyRing;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;

/**
 * Writes facts to the store, so that they survive a restart of all hosts.
 *
 * <p>Withdrawn keys go into {@code keys/<env>}, halted releases into {@code status/halts}. Fences
 * are part of the members record. One of the hosts in contact writes each fact. It retries the
 * write until a read returns the fact, so a lost response needs no other handling.
 */
final class DurableWriter {

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final StoreAccess store;
  private final KeyTable keys;
  private final String environment;
  private final Supplier<String> idSupplier;
  private final Set<Fact> pending = ConcurrentHashMap.newKeySet();
  private final Set<Fact> written = ConcurrentHashMap.newKeySet();
  private long lastStepNanos;
  private boolean everStepped;

  DurableWriter(
      FleetCore core,
      ReplicatedObjects objects,
      StoreAccess store,
      KeyTable keys,
      String environment,
      Supplier<String> idSupplier) {
    this.core = core;
    this.objects = objects;
    this.store = store;
    this.keys = keys;
    this.environment = environment;
    this.idSupplier = idSupplier;
    core.onFact(this::addPending);
  }

  private void addPending(Fact fact) {
    if (!(fact instanceof Fact.HostFenced)) {
      pending.add(fact);
    }
  }

  /** Returns whether a fact is known to this host to be in the store. */
  boolean isDurable(Fact fact) {
    if (fact instanceof Fact.HostFenced fenced) {
      return core.record().removed().contains(fenced.incarnation());
    }
    if (fact instanceof Fact.KeyWithdrawn withdrawn
        && withdrawn.environment().equals(environment)) {
      return keys.isWithdrawnInRecord(withdrawn.keyHash());
    }
    return written.contains(fact);
  }

  int pendingCount() {
    return pending.size();
  }

  /** Attempts one write for each object that lacks facts, at most once per second. */
  void step() {
    long nowNanos = core.clock().nanoTime();
    pending.removeIf(this::isDurable);
    if (everStepped && nowNanos - lastStepNanos < Timing.DURABLE_WRITE_INTERVAL.toNanos()) {
      return;
    }
    everStepped = true;
    lastStepNanos = nowNanos;
    Map<String, List<Fact.KeyWithdrawn>> byEnvironment = new HashMap<>();
    List<Fact.ReleaseHalted> halts = new ArrayList<>();
    for (Fact fact : pending) {
      if (fact instanceof Fact.KeyWithdrawn withdrawn && isWriter("keys")) {
        byEnvironment
            .computeIfAbsent(withdrawn.environment(), e -> new ArrayList<>())
            .add(withdrawn);
      } else if (fact instanceof Fact.ReleaseHalted halted && isWriter("halts")) {
        halts.add(halted);
      }
    }
    byEnvironment.forEach(this::writeKeys);
    if (!halts.isEmpty()) {
      writeHalts(halts);
    }
  }

  private boolean isWriter(String subject) {
    List<Member> candidates =
        core.membersInContact().stream().filter(m -> !core.isStoreDownAt(m.incarnation())).toList();
    Optional<Member> writer = Rendezvous.first("durable/" + subject, candidates);
    return writer.isPresent() && writer.get().incarnation().equals(core.self().incarnation());
  }

  private void writeKeys(String env, List<Fact.KeyWithdrawn> facts) {
    String name = "keys/" + env;
    StoredObject stored = read(name);
    if (stored == null) {
      return;
    }
    try {
      KeyRing ring =
          stored.version() == 0 ? KeyRing.EMPTY : readNewest(name, stored, KeyRing.class);
      Set<String> hashes = new HashSet<>();
      facts.forEach(fact -> hashes.add(fact.keyHash()));
      List<KeyRecord> updatedKeys = new ArrayList<>();
      boolean changed = false;
      for (KeyRecord key : ring.keys()) {
        boolean markWithdrawn = hashes.remove(key.sha256()) && key.withdrawnAtMillis() == null;
        changed |= markWithdrawn;
        updatedKeys.add(markWithdrawn ? withdraw(key) : key);
      }
      for (Fact.KeyWithdrawn fact : facts) {
        if (hashes.contains(fact.keyHash()) && pending.remove(fact)) {
          core.events().log(FleetEvent.FACT_NOT_DURABLE, fact, name + " does not list the key");
        }
      }
      KeyRing next = changed ? new KeyRing(ring.generation() + 1, List.copyOf(updatedKeys)) : ring;
      if (!changed || write(name, stored, Json.write(next))) {
        facts.stream().filter(fact -> !hashes.contains(fact.keyHash())).forEach(this::markWritten);
      }
    } catch (JsonException e) {
      core.events().log(FleetEvent.OBJECT_INVALID, name, ReplicatedObjects.STORE, e.toString());
    }
  }

  private KeyRecord withdraw(KeyRecord key) {
    return new KeyRecord(
        key.sha256(), key.workspace(), key.issuedAtMillis(), core.clock().wallMillis());
  }

  private void writeHalts(List<Fact.ReleaseHalted> facts) {
    StoredObject stored = read(Halts.NAME);
    if (stored == null) {
      return;
    }
    try {
      Halts halts =
          stored.version() == 0 ? Halts.NONE : readNewest(Halts.NAME, stored, Halts.class);
      List<Halts.Halt> allHalts = new ArrayList<>(halts.halts());
      for (Fact.ReleaseHalted fact : facts) {
        Halts.Halt halt = new Halts.Halt(fact.release(), fact.reason());
        if (!allHalts.contains(halt)) {
          allHalts.add(halt);
        }
      }
      boolean changed = allHalts.size() > halts.halts().size();
      Halts next = new Halts(halts.generation() + 1, List.copyOf(allHalts));
      if (!changed || write(Halts.NAME, stored, Json.write(next))) {
        facts.forEach(this::markWritten);
      }
    } catch (JsonException e) {
      core.events()
          .log(FleetEvent.OBJECT_INVALID, Halts.NAME, ReplicatedObjects.STORE, e.toString());
    }
  }

  private void markWritten(Fact fact) {
    written.add(fact);
    if (pending.remove(fact)) {
      core.events().log(FleetEvent.FACT_DURABLE, fact);
    }
  }

  /**
   * Reads an object. An object that does not exist has version 0; null if the store is unavailable.
   */
  private @Nullable StoredObject read(String name) {
    Result<StoredObject, StoreError> result = store.get(name);
    if (result instanceof Result.Ok<StoredObject, StoreError> ok) {
      return ok.value();
    }
    return result.error() instanceof StoreError.NotFound
        ? new StoredObject(name, new byte[0], 0, "")
        : null;
  }

  /** Parses the stored value, or the value in force if the store was restored to an older one. */
  private <T> T readNewest(String name, StoredObject stored, Class<T> type) throws JsonException {
    objects.offer(name, stored.value(), ReplicatedObjects.STORE);
    ReplicatedObjects.ObjectValue inForce = objects.get(name);
    return Json.read(inForce == null ? stored.value() : inForce.value(), type);
  }

  private boolean write(String name, StoredObject replaced, byte[] value) {
    Result<StoredObject, StoreError> result =
        store.put(name, value, replaced.version(), idSupplier.get());
    if (result.isOk()) {
      objects.offer(name, value, ReplicatedObjects.STORE);
    }
    return result.isOk();
  }
}
