package verbenahatch.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Hashing;

/**
 * Holds the members, contacts and facts, and derives the freshness of this host from them.
 *
 * <p>Thread-safe: changes run under one lock; the request path reads volatile snapshots. Listeners
 * run after the lock is released, but {@code factHook} runs while it is held, so that a fact takes
 * effect on keys before a contact that implies its arrival can make the host fresh.
 */
final class FleetCore {

  private final Clock clock;
  private final Events events;
  private final ContactTable contacts = new ContactTable();
  private final FactSet facts = new FactSet();
  private final Set<Fact> knownFacts = ConcurrentHashMap.newKeySet();
  private final Map<String, Long> heldFactCounts = new HashMap<>();
  private final Map<String, Long> memberSinceNanos = new HashMap<>();
  private final Map<String, Long> removedAtNanos = new ConcurrentHashMap<>();
  private final List<Consumer<Fact>> factListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<List<Member>>> changeListeners = new CopyOnWriteArrayList<>();
  private final Consumer<Fact> factHook;
  private volatile Member self;
  private volatile MembersRecord record = MembersRecord.NONE;
  private volatile Freshness freshness = Freshness.NEVER;
  private volatile boolean freshnessRevoked;
  private long epochAdoptedAtNanos;
  private long settledEpoch;
  private long freshSinceNanos;
  private Freshness earlierFreshness = Freshness.NEVER;
  private boolean wasFresh;
  private final Set<String> expiring = new HashSet<>();
  private volatile Set<String> memberIncarnations = Set.of();
  private long lastContactDigest;

  FleetCore(Member self, Clock clock, Events events, Consumer<Fact> factHook) {
    this.self = self;
    this.clock = clock;
    this.events = events;
    this.factHook = factHook;
  }

  Clock clock() {
    return clock;
  }

  Events events() {
    return events;
  }

  Member self() {
    return self;
  }

  MembersRecord record() {
    return record;
  }

  boolean isMember() {
    return memberIncarnations.contains(self.incarnation());
  }

  /** Adds a listener and calls it for the facts known so far, so that it misses none. */
  void onFact(Consumer<Fact> listener) {
    factListeners.add(listener);
    factsAfter(0, Integer.MAX_VALUE).forEach(listener);
  }

  void onChange(Consumer<List<Member>> listener) {
    changeListeners.add(listener);
  }

  boolean isFresh() {
    return remainingFreshnessNanos() > 0;
  }

  long remainingFreshnessNanos() {
    // Freshness is read before the clock, so that a pause between the two shortens the result.
    Freshness current = freshness;
    return freshnessRevoked ? 0 : current.remainingNanos(clock.nanoTime());
  }

  /** Returns how long this host has been fresh without interruption in ns, 0 if it is not fresh. */
  synchronized long freshDurationNanos() {
    return isFresh() && wasFresh ? clock.nanoTime() - freshSinceNanos : 0;
  }

  boolean contains(Fact fact) {
    return knownFacts.contains(fact);
  }

  boolean isFenced(String incarnation) {
    return knownFacts.contains(new Fact.HostFenced(incarnation));
  }

  boolean isExpired(String incarnation) {
    Long removedNanos = removedAtNanos.get(incarnation);
    return removedNanos != null
        && clock.nanoTime() - removedNanos >= Timing.FRESHNESS_EXPIRY.toNanos();
  }

  synchronized boolean isInContact(String incarnation) {
    return incarnation.equals(self.incarnation())
        || contacts.isInContact(incarnation, clock.nanoTime());
  }

  synchronized boolean isReplaced(String incarnation) {
    return contacts.isReplaced(incarnation);
  }

  synchronized long contactAgeNanos(String incarnation) {
    return contacts.contactAgeNanos(incarnation, clock.nanoTime()).orElse(Long.MAX_VALUE);
  }

  synchronized boolean isStoreDownAt(String incarnation) {
    ContactTable.Contact last = contacts.last(incarnation);
    return last != null && last.storeDown();
  }

  /** Returns the members in contact, including this host if it is a member. */
  synchronized List<Member> membersInContact() {
    return record.members().stream().filter(m -> isInContact(m.incarnation())).toList();
  }

  /**
   * Returns whether a member has been out of contact with every host known to this one for longer
   * than {@link Timing#suspectAfter(int)}, or another incarnation responds at its address.
   */
  synchronized boolean isSuspect(Member member) {
    String incarnation = member.incarnation();
    if (incarnation.equals(self.incarnation())) {
      return false;
    }
    if (contacts.isReplaced(incarnation)) {
      return true;
    }
    long nowNanos = clock.nanoTime();
    long suspectNanos = Timing.suspectAfter(memberIncarnations.size()).toNanos();
    return nowNanos - memberSinceNanos.getOrDefault(incarnation, nowNanos) > suspectNanos
        && contacts.contactAgeNanos(incarnation, nowNanos).orElse(Long.MAX_VALUE) > suspectNanos;
  }

  /** Replaces the incarnation of this process after it was fenced. */
  synchronized void renewIncarnation(String incarnation) {
    Member old = self;
    self =
        new Member(
            old.host(),
            incarnation,
            old.region(),
            old.zone(),
            old.peer(),
            old.entryUrl(),
            old.leaving());
    update();
  }

  synchronized void markLeaving() {
    Member old = self;
    self =
        new Member(
            old.host(),
            old.incarnation(),
            old.region(),
            old.zone(),
            old.peer(),
            old.entryUrl(),
            true);
  }

  /**
   * Ends the freshness of this host permanently, so that it uses no keys and no shares, before it
   * removes itself.
   */
  void revokeFreshness() {
    freshnessRevoked = true;
  }

  /**
   * Adopts the members of a higher epoch.
   *
   * @param newer the members record
   * @return true if it was adopted, false if its epoch is not higher than the known one
   */
  boolean adopt(MembersRecord newer) {
    List<Fact> added = new ArrayList<>();
    synchronized (this) {
      if (newer.epoch() <= record.epoch()) {
        return false;
      }
      for (String incarnation : newer.removed()) {
        addLocked(new Fact.HostFenced(incarnation), added);
      }
      final MembersRecord old = record;
      record = newer;
      epochAdoptedAtNanos = clock.nanoTime();
      earlierFreshness = freshness.toExpiryTime(epochAdoptedAtNanos);
      updateMemberState(old, newer);
      update();
    }
    events.log(FleetEvent.MEMBERS_ADOPTED, newer.epoch(), newer.members().size());
    notifyFactListeners(added);
    notifyChangeListeners();
    return true;
  }

  private void updateMemberState(MembersRecord old, MembersRecord newer) {
    for (Member member : newer.members()) {
      memberSinceNanos.putIfAbsent(member.incarnation(), epochAdoptedAtNanos);
    }
    Set<String> incarnations = new HashSet<>();
    newer.members().forEach(m -> incarnations.add(m.incarnation()));
    memberIncarnations = incarnations;
    memberSinceNanos.keySet().retainAll(memberIncarnations);
    contacts.retain(memberIncarnations);
    heldFactCounts.keySet().retainAll(memberIncarnations);
    for (Member member : old.members()) {
      if (!memberIncarnations.contains(member.incarnation())) {
        recordRemoval(member.incarnation());
      }
    }
    newer.removed().forEach(this::recordRemoval);
  }

  private void recordRemoval(String incarnation) {
    if (removedAtNanos.putIfAbsent(incarnation, epochAdoptedAtNanos) == null) {
      expiring.add(incarnation);
    }
  }

  /** Adds facts from the store, a peer or this host. Returns those that were not known before. */
  List<Fact> addFacts(List<Fact> received) {
    List<Fact> added = new ArrayList<>();
    synchronized (this) {
      for (Fact fact : received) {
        addLocked(fact, added);
      }
      if (!added.isEmpty()) {
        update();
      }
    }
    notifyFactListeners(added);
    return added;
  }

  private void addLocked(Fact fact, List<Fact> added) {
    if (!facts.add(fact)) {
      return;
    }
    knownFacts.add(fact);
    factHook.accept(fact);
    added.add(fact);
  }

  /** Returns up to {@code limit} facts of this host's log from a position on. */
  synchronized List<Fact> factsAfter(long cursor, int limit) {
    return facts.after(cursor, limit);
  }

  synchronized int factCount() {
    return facts.size();
  }

  /** Records that a peer holds the facts of this host's log before the cursor. */
  synchronized void recordHeldFacts(String incarnation, long cursor) {
    heldFactCounts.merge(incarnation, Math.min(cursor, facts.size()), Math::max);
  }

  /** Returns whether the polls of a peer show that it holds a fact. */
  synchronized boolean isHeldBy(String incarnation, Fact fact) {
    int position = facts.position(fact);
    return position >= 0 && heldFactCounts.getOrDefault(incarnation, 0L) > position;
  }

  /**
   * Records contacts by incarnation. The facts and members that they imply must be merged before.
   */
  void recordContacts(Map<String, ContactTable.Contact> newContacts) {
    synchronized (this) {
      for (Map.Entry<String, ContactTable.Contact> entry : newContacts.entrySet()) {
        if (memberIncarnations.contains(entry.getKey())
            && !entry.getKey().equals(self.incarnation())) {
          contacts.record(entry.getKey(), entry.getValue());
        }
      }
      // In a large fleet the next tick updates it, because an aggregator gets hundreds of responses
      // per second.
      if (memberIncarnations.size() <= Timing.AGGREGATOR_THRESHOLD) {
        update();
      }
    }
  }

  synchronized void markReplaced(String incarnation, long startNanos) {
    if (memberIncarnations.contains(incarnation)) {
      contacts.markReplaced(incarnation, startNanos);
    }
  }

  synchronized ContactTable.Contact contactOf(String incarnation) {
    ContactTable.Contact last = contacts.last(incarnation);
    return last == null ? new ContactTable.Contact(0, 0, 0, false) : last;
  }

  /** Recomputes freshness and notifies listeners of changes of contact; called at every tick. */
  void refresh() {
    boolean changed;
    synchronized (this) {
      update();
      long contactDigest = 0;
      for (Member member : record.members()) {
        if (isInContact(member.incarnation())) {
          contactDigest += Hashing.mix(member.incarnation().hashCode());
        }
      }
      changed = expiring.removeIf(this::isExpired) || contactDigest != lastContactDigest;
      lastContactDigest = contactDigest;
    }
    if (changed) {
      notifyChangeListeners();
    }
  }

  private void update() {
    long nowNanos = clock.nanoTime();
    if (isFenced(self.incarnation()) || !isMember()) {
      earlierFreshness = Freshness.NEVER;
      freshness = Freshness.NEVER;
    } else {
      freshness =
          Freshness.of(record, self.incarnation(), contacts, epochAdoptedAtNanos, nowNanos)
              .later(earlierFreshness, nowNanos);
    }
    boolean fresh = freshness.isFresh(nowNanos) && !freshnessRevoked;
    if (fresh != wasFresh) {
      wasFresh = fresh;
      freshSinceNanos = nowNanos;
      events.log(fresh ? FleetEvent.FRESH : FleetEvent.NOT_FRESH, record.members().size());
    }
    if (settledEpoch < record.epoch() && hasQuorum(this::isSettledContact)) {
      settledEpoch = record.epoch();
    }
  }

  private boolean isSettledContact(Member member) {
    if (member.incarnation().equals(self.incarnation())) {
      return true;
    }
    ContactTable.Contact last = contacts.last(member.incarnation());
    return last != null
        && last.epoch() >= record.epoch()
        && last.startNanos() - epochAdoptedAtNanos > 0;
  }

  /**
   * Returns the newest epoch that this host has settled: after its adoption, this host had contact
   * with a majority that held it. Facts accepted in an earlier epoch are then known to this host.
   */
  synchronized long settledEpoch() {
    return settledEpoch;
  }

  /**
   * Returns whether a quorum of the newest epoch has settled it, so that the next may be written.
   */
  synchronized boolean isEpochSettled() {
    long epoch = record.epoch();
    return settledEpoch >= epoch
        && hasQuorum(
            m ->
                m.incarnation().equals(self.incarnation())
                    || contactOf(m.incarnation()).settledEpoch() >= epoch);
  }

  /**
   * Returns whether a majority of the members passes a test, or all members whose process is not
   * known to be replaced by another one. The second case lets a fleet recover after a restart of
   * all its hosts.
   */
  synchronized boolean hasQuorum(Predicate<Member> test) {
    if (record.isMajority(test)) {
      return true;
    }
    return record.epoch() > 0
        && record.members().stream()
            .allMatch(m -> test.test(m) || contacts.isReplaced(m.incarnation()));
  }

  private void notifyFactListeners(List<Fact> added) {
    for (Fact fact : added) {
      events.log(FleetEvent.FACT_KNOWN, fact);
      factListeners.forEach(listener -> listener.accept(fact));
    }
  }

  private void notifyChangeListeners() {
    List<Member> members = record.members();
    changeListeners.forEach(listener -> listener.accept(members));
  }
}
