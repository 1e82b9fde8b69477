package verbenahatch.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoredObject;

/**
 * Adds and removes members, one per epoch, by conditional writes of {@code members/fleet}.
 *
 * <p>Each call of {@link #step()} makes at most one change and never waits for peers. It runs on
 * one thread. A write whose response is lost needs no state of its own, because the next step reads
 * the record back and continues from its content.
 */
final class Membership {

  /**
   * Time for which this host must have been fresh before it fences another one. After a pause of
   * its process, a host has only old contacts with all members until the first responses report
   * newer ones.
   */
  private static final Duration MIN_FRESH_DURATION = Timing.HEARTBEAT_INTERVAL.multipliedBy(2);

  /** A record read from the store with its version. */
  private record StoredRecord(MembersRecord record, long version) {}

  private final FleetCore core;
  private final StoreAccess store;
  private final FactReplicator facts;
  private final StoreWatcher watcher;
  private final Supplier<String> idSupplier;
  private boolean initialReadDone;
  private long lastReadNanos;
  private int conflicts;
  private boolean everReadRecord;
  private boolean joinedLogged;
  private @Nullable String unconfirmedWriteId;

  Membership(
      FleetCore core,
      StoreAccess store,
      FactReplicator facts,
      StoreWatcher watcher,
      Supplier<String> idSupplier) {
    this.core = core;
    this.store = store;
    this.facts = facts;
    this.watcher = watcher;
    this.idSupplier = idSupplier;
  }

  /**
   * Makes the change that is due: renew a fenced incarnation, join, mark this host as leaving, or
   * remove a member.
   */
  void step() {
    Member self = core.self();
    if (core.isFenced(self.incarnation())) {
      renewIncarnation(self);
      return;
    }
    if (core.isMember()) {
      memberStep(self);
    } else {
      joinedLogged = false;
      joinStep(self);
    }
  }

  private void renewIncarnation(Member self) {
    String newIncarnation = idSupplier.get();
    core.events().log(FleetEvent.SELF_FENCED, self.incarnation(), newIncarnation);
    core.renewIncarnation(newIncarnation);
  }

  private void memberStep(Member self) {
    if (!joinedLogged) {
      joinedLogged = true;
      core.events().log(FleetEvent.JOINED, self.incarnation(), core.record().epoch());
    }
    Member listed = core.record().find(self.incarnation());
    if (listed != null && listed.leaving() != self.leaving()) {
      change(read -> read.record().with(self));
      return;
    }
    removeSuspects(self);
  }

  private void removeSuspects(Member self) {
    if (core.freshDurationNanos() < MIN_FRESH_DURATION.toNanos()) {
      return;
    }
    List<Member> suspects =
        core.record().members().stream()
            .filter(m -> core.isSuspect(m) || core.isFenced(m.incarnation()))
            .filter(m -> isResponsibleFor(self, m))
            .toList();
    if (!suspects.isEmpty()) {
      remove(suspects);
    }
  }

  /**
   * Returns whether this host should fence and remove a suspect; another host does so when this one
   * is out of contact.
   */
  private boolean isResponsibleFor(Member self, Member suspect) {
    List<Member> candidates =
        core.membersInContact().stream()
            .filter(m -> !core.isFenced(m.incarnation()))
            .filter(m -> !core.isStoreDownAt(m.incarnation()))
            .toList();
    Optional<Member> responsible = Rendezvous.first("steward/" + suspect.incarnation(), candidates);
    return responsible.isPresent() && responsible.get().incarnation().equals(self.incarnation());
  }

  /** Fences all suspects and removes the first one whose fence is held by a quorum. */
  private void remove(List<Member> suspects) {
    // The record is read first, so that no host is fenced while the store is down.
    StoredRecord read = read();
    if (read == null || !isCurrent(read)) {
      return;
    }
    for (Member suspect : suspects) {
      Fact.HostFenced fence = new Fact.HostFenced(suspect.incarnation());
      if (!facts.isPublishedHere(fence)) {
        String reason = core.isReplaced(suspect.incarnation()) ? "replaced" : "out of contact";
        core.events()
            .log(FleetEvent.FENCING, suspect.host(), suspect.incarnation(), suspect.zone(), reason);
        facts.publish(fence, Timing.CALL_TIMEOUT);
      }
    }
    if (!core.isEpochSettled()) {
      return;
    }
    for (Member suspect : suspects) {
      if (facts.isHeldByQuorum(new Fact.HostFenced(suspect.incarnation()))) {
        if (write(read, read.record().without(suspect.incarnation()))) {
          core.events()
              .log(
                  FleetEvent.REMOVED,
                  suspect.host(),
                  suspect.incarnation(),
                  read.record().epoch() + 1);
        }
        return;
      }
    }
  }

  private void joinStep(Member self) {
    long nowNanos = core.clock().nanoTime();
    if (everReadRecord && nowNanos - lastReadNanos < joinDelayNanos(self)) {
      return;
    }
    lastReadNanos = nowNanos;
    everReadRecord = true;
    if (self.leaving()) {
      return;
    }
    if (!initialReadDone) {
      initialReadDone = watcher.readAll();
    }
    StoredRecord read = read();
    if (!initialReadDone || read == null || !isCurrent(read)) {
      return;
    }
    Optional<Member> predecessor = read.record().predecessorOf(self);
    if (predecessor.isPresent()) {
      // This process has bound the address, so its predecessor no longer runs.
      core.markReplaced(predecessor.get().incarnation(), nowNanos);
      remove(List.of(predecessor.get()));
      return;
    }
    if (read.record().members().isEmpty() || core.isEpochSettled()) {
      write(read, read.record().with(self));
    }
  }

  /**
   * Returns the time between two attempts to join. It increases with conflicts up to 32 intervals
   * and differs between hosts, so that many hosts that start at once do not overload the store.
   */
  private long joinDelayNanos(Member self) {
    long maxIntervals = 1L << Math.min(5, conflicts);
    long intervals =
        Math.floorMod(Hashing.mix(self.incarnation().hashCode() + conflicts), maxIntervals);
    return Timing.JOIN_INTERVAL.toNanos() * (1 + intervals);
  }

  /** Attempts to remove this host from the members; the caller retries until it returns true. */
  boolean leaveStep() {
    Member self = core.self();
    if (!core.isMember()) {
      return true;
    }
    core.revokeFreshness();
    change(read -> read.record().without(self.incarnation()));
    if (core.isMember()) {
      return false;
    }
    core.events().log(FleetEvent.LEFT, self.incarnation());
    return true;
  }

  private interface RecordChange {
    MembersRecord apply(StoredRecord read);
  }

  private void change(RecordChange change) {
    if (!core.isEpochSettled()) {
      return;
    }
    StoredRecord read = read();
    if (read != null && isCurrent(read)) {
      write(read, change.apply(read));
    }
  }

  /** Reads the record; null if the store is unavailable or the record cannot be parsed. */
  private @Nullable StoredRecord read() {
    Result<StoredObject, StoreError> result = store.get(MembersRecord.NAME);
    if (result instanceof Result.Ok<StoredObject, StoreError> ok) {
      reportConfirmedWrite(ok.value());
      try {
        return new StoredRecord(MembersRecord.read(ok.value().value()), ok.value().version());
      } catch (JsonException e) {
        core.events()
            .log(
                FleetEvent.OBJECT_INVALID,
                MembersRecord.NAME,
                ReplicatedObjects.STORE,
                e.toString());
        return null;
      }
    }
    return result.error() instanceof StoreError.NotFound
        ? new StoredRecord(MembersRecord.NONE, 0)
        : null;
  }

  private void reportConfirmedWrite(StoredObject object) {
    if (object.writeId().equals(unconfirmedWriteId)) {
      core.events().log(FleetEvent.MEMBERS_SETTLED, object.version());
    }
    unconfirmedWriteId = null;
  }

  /**
   * Returns whether the store holds the epoch known to this host. A newer epoch is adopted and must
   * be settled before the next change. An older epoch means a stale read or a restored store. It is
   * never adopted, and a host whose epoch is settled writes the newer state again.
   */
  private boolean isCurrent(StoredRecord read) {
    long knownEpoch = core.record().epoch();
    if (read.record().epoch() == knownEpoch) {
      return true;
    }
    if (read.record().epoch() > knownEpoch) {
      core.adopt(read.record());
      return false;
    }
    core.events().log(FleetEvent.MEMBERS_RESTORED, read.record().epoch(), knownEpoch + 1);
    if (core.isEpochSettled()) {
      write(read, core.record().withNextEpoch());
    }
    return false;
  }

  private boolean write(StoredRecord read, MembersRecord next) {
    String writeId = idSupplier.get();
    Result<StoredObject, StoreError> result =
        store.put(MembersRecord.NAME, next.write(), read.version(), writeId);
    if (result.isOk()) {
      conflicts = 0;
      core.adopt(next);
      return true;
    }
    if (result.error() instanceof StoreError.Conflict) {
      conflicts++;
      core.events().log(FleetEvent.MEMBERS_CONFLICT, next.epoch());
    } else if (result.error() instanceof StoreError.Unsettled) {
      unconfirmedWriteId = writeId;
      core.events().log(FleetEvent.MEMBERS_UNSETTLED, next.epoch());
    }
    return false;
  }
}
