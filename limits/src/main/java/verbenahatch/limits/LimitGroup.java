package verbenahatch.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Member;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.generated.CloseReport;
import verbenahatch.peer.generated.CloseShares;
import verbenahatch.peer.generated.GrantLine;
import verbenahatch.peer.generated.RecallHint;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;
import verbenahatch.peer.generated.ShareLine;

/**
 * Represents this host's role in one group of limits: tracks the coordinator, becomes the
 * coordinator if there is none, and serves the other hosts while it is.
 *
 * <p>Thread-safe. No lock is held while messages are sent or futures are completed.
 */
final class LimitGroup {

  /**
   * Time after which a fenced or removed incarnation can no longer use its shares: the freshness
   * bound of 1,500 ms plus 5% for clock drift.
   */
  static final long LEASE_EXPIRY_NANOS = 1_575_000_000L;

  /**
   * Time after which a removed member counts as expired: the removal itself may take one more bound
   * to reach the member.
   */
  static final long REMOVAL_EXPIRY_NANOS = 2 * LEASE_EXPIRY_NANOS;

  /**
   * Time between two attempts to become the coordinator; bounds the store calls during an outage.
   */
  private static final long ELECTION_PERIOD_NANOS = 500_000_000L;

  /** Time between two checks for shares to reclaim, changed totals and recalls. */
  private static final long MAINTENANCE_PERIOD_NANOS = 50_000_000L;

  private final int group;
  private final LimitsContext context;
  private final HostLease lease;
  private final HolderLedger holderLedger;
  private final Supplier<Map<String, LimitSpec>> specs;
  private final Map<String, Long> absentSince = new HashMap<>();
  private final Set<String> closedMembers = new HashSet<>();
  private @Nullable CoordinatorLedger ledger;
  private @Nullable Election election;
  private long knownEpoch;
  private String knownCoordinator = "";
  private long activationAt;
  private long maintainedAt;
  private long nextElectionAt;
  private boolean renewalRequested;

  LimitGroup(
      int group,
      LimitsContext context,
      HostLease lease,
      HolderLedger holderLedger,
      Supplier<Map<String, LimitSpec>> specs) {
    this.group = group;
    this.context = context;
    this.lease = lease;
    this.holderLedger = holderLedger;
    this.specs = specs;
    this.nextElectionAt = context.clock().nanoTime();
    this.maintainedAt = nextElectionAt - MAINTENANCE_PERIOD_NANOS;
  }

  HolderLedger holderLedger() {
    return holderLedger;
  }

  synchronized String knownCoordinator() {
    return knownCoordinator;
  }

  synchronized long knownEpoch() {
    return knownEpoch;
  }

  synchronized @Nullable CoordinatorLedger ledger() {
    return ledger;
  }

  /**
   * Returns the pool of a limit; empty if this host is not its coordinator or may not grant yet.
   */
  synchronized Optional<Share> pool(String limit) {
    CoordinatorLedger currentLedger = ledger;
    if (currentLedger == null || !currentLedger.isActive()) {
      return Optional.empty();
    }
    return Optional.ofNullable(currentLedger.accounts().get(limit))
        .map(account -> account.pool(context.clock().nanoTime()));
  }

  /** Returns the total that the pool is part of; empty if there is no pool here. */
  synchronized Optional<LimitSpec> poolTotal(String limit) {
    CoordinatorLedger currentLedger = ledger;
    if (currentLedger == null || !currentLedger.isActive()) {
      return Optional.empty();
    }
    return Optional.ofNullable(currentLedger.accounts().get(limit)).map(LimitAccount::spec);
  }

  /** Discards all state of the old incarnation. */
  synchronized void reset() {
    dropLedger();
    election = null;
    holderLedger.reset();
  }

  private void dropLedger() {
    if (ledger != null) {
      context.events().log(LimitsEvent.COORDINATOR_LOST, group, ledger.epoch());
      ledger = null;
    }
  }

  /** Adopts a newer epoch and its coordinator; ignores an older epoch. */
  synchronized void adopt(long epoch, String coordinator) {
    if (epoch > knownEpoch) {
      knownEpoch = epoch;
      knownCoordinator = coordinator;
      renewalRequested = false;
      if (ledger != null && ledger.epoch() < epoch) {
        dropLedger();
      }
    }
    holderLedger.adopt(epoch, coordinator);
  }

  /** Runs elections, maintenance, recalls and the closing of epochs as they are due. */
  void tick() {
    elect();
    Map<String, List<GrantLine>> recalls = maintain();
    sendRecalls(recalls);
    closeLateMembers();
  }

  private void elect() {
    Election activeElection;
    boolean isNew;
    synchronized (this) {
      isNew = election == null;
      activeElection = isNew ? newElection() : election;
      if (activeElection == null) {
        return;
      }
      if (isNew) {
        election = activeElection;
        nextElectionAt = context.clock().nanoTime() + ELECTION_PERIOD_NANOS;
      }
    }
    if (isNew) {
      activeElection.start();
    } else {
      activeElection.tick();
    }
  }

  private @Nullable Election newElection() {
    if (context.clock().nanoTime() - nextElectionAt < 0 || !lease.isUsable()) {
      return null;
    }
    boolean isOwn = knownCoordinator.equals(lease.incarnation());
    boolean renew = isOwn && (ledger == null || renewalRequested);
    if (!renew) {
      Member candidate = context.members().candidate(group);
      boolean isCandidate =
          candidate != null && candidate.incarnation().equals(lease.incarnation());
      if (!isCandidate || context.members().canCoordinate(knownCoordinator)) {
        return null;
      }
    }
    return new Election(group, context, lease.incarnation(), ledger == null || renew, outcome());
  }

  private Election.Outcome outcome() {
    String incarnation = lease.incarnation();
    return new Election.Outcome() {
      @Override
      public void won(long epoch, Map<String, List<ShareLine>> reports, long closedAt) {
        becomeCoordinator(incarnation, epoch, reports, closedAt);
      }

      @Override
      public void lost(long epoch, String coordinator) {
        endElection();
        adopt(epoch, coordinator);
      }

      @Override
      public void failed() {
        endElection();
      }

      @Override
      public CloseReport closeLocally(long epoch) {
        return close(epoch);
      }
    };
  }

  private synchronized void endElection() {
    election = null;
  }

  private void becomeCoordinator(
      String incarnation, long epoch, Map<String, List<ShareLine>> reports, long closedAt) {
    synchronized (this) {
      election = null;
      if (!lease.isCurrent() || !incarnation.equals(lease.incarnation())) {
        return;
      }
      if (!holderLedger.adopt(epoch, incarnation)) {
        return;
      }
      knownEpoch = epoch;
      knownCoordinator = incarnation;
      renewalRequested = false;
      long now = context.clock().nanoTime();
      CoordinatorLedger newLedger = new CoordinatorLedger(epoch, incarnation, specs.get(), now);
      reports.forEach((member, lines) -> newLedger.addReport(member, lines, now));
      ledger = newLedger;
      activationAt = closedAt + LEASE_EXPIRY_NANOS;
      closedMembers.clear();
      closedMembers.addAll(reports.keySet());
      absentSince.clear();
    }
    context.events().log(LimitsEvent.COORDINATOR_ELECTED, group, epoch);
    announceCoordinator(epoch, incarnation);
  }

  private void announceCoordinator(long epoch, String incarnation) {
    for (Member member : context.members().live().values()) {
      if (!member.incarnation().equals(incarnation)) {
        sendRecallHint(member, epoch, incarnation, List.of());
      }
    }
  }

  private void sendRecallHint(
      Member member, long epoch, String coordinator, List<GrantLine> lines) {
    RecallHint hint =
        RecallHint.newBuilder()
            .setGroup(group)
            .setEpoch(epoch)
            .setHome(coordinator)
            .addAllLines(lines)
            .build();
    context
        .link()
        .call(
            member.peer(),
            MessageKind.RECALL_HINT,
            hint.toByteArray(),
            Duration.ofNanos(GroupTransport.TIMEOUT_NANOS));
  }

  private synchronized Map<String, List<GrantLine>> maintain() {
    CoordinatorLedger currentLedger = ledger;
    if (currentLedger == null) {
      return Map.of();
    }
    long now = context.clock().nanoTime();
    if (now - maintainedAt < MAINTENANCE_PERIOD_NANOS) {
      return Map.of();
    }
    maintainedAt = now;
    updateLedger(currentLedger, now);
    Map<String, Member> live = context.members().live();
    for (String holder : currentLedger.holders()) {
      if (hasExpired(holder, live, now) && currentLedger.reclaim(holder, now)) {
        context.events().log(LimitsEvent.SHARES_RECLAIMED, group, holder);
      }
    }
    if (!currentLedger.isActive()
        && now - activationAt >= 0
        && closedMembers.containsAll(live.keySet())) {
      currentLedger.activate();
    }
    return currentLedger.isActive() && lease.isUsable() ? currentLedger.recalls(now) : Map.of();
  }

  private void updateLedger(CoordinatorLedger currentLedger, long now) {
    currentLedger.updateTotals(specs.get(), now);
    Map<String, Boolean> members = new TreeMap<>();
    for (Member member : context.members().live().values()) {
      members.put(member.incarnation(), !member.leaving());
    }
    currentLedger.updateMembers(members, now);
  }

  private boolean hasExpired(String incarnation, Map<String, Member> live, long now) {
    if (context.fleet().isExpired(incarnation)) {
      return true;
    }
    if (live.containsKey(incarnation)) {
      absentSince.remove(incarnation);
      return false;
    }
    return now - absentSince.computeIfAbsent(incarnation, key -> now) >= REMOVAL_EXPIRY_NANOS;
  }

  /** Closes the previous epoch at members that joined while the other members closed it. */
  private void closeLateMembers() {
    long closingEpoch;
    Map<String, Member> lateMembers;
    synchronized (this) {
      if (ledger == null || ledger.isActive() || context.clock().nanoTime() - activationAt < 0) {
        return;
      }
      closingEpoch = ledger.epoch() - 1;
      lateMembers = new TreeMap<>(context.members().live());
      lateMembers.keySet().removeAll(closedMembers);
    }
    byte[] body =
        CloseShares.newBuilder().setGroup(group).setEpoch(closingEpoch).build().toByteArray();
    for (Member member : lateMembers.values()) {
      context
          .link()
          .call(
              member.peer(),
              MessageKind.CLOSE_SHARES,
              body,
              Duration.ofNanos(GroupTransport.TIMEOUT_NANOS))
          .thenAccept(
              result -> {
                if (result.isOk()) {
                  recordClosed(member.incarnation(), closingEpoch + 1, result.get());
                }
              });
    }
  }

  private synchronized void recordClosed(String incarnation, long epoch, byte[] body) {
    CloseReport report = Messages.read(CloseReport.parser(), body);
    if (ledger != null && ledger.epoch() == epoch && report != null && report.getClosed()) {
      ledger.addReport(incarnation, report.getLinesList(), context.clock().nanoTime());
      closedMembers.add(incarnation);
    }
  }

  private void sendRecalls(Map<String, List<GrantLine>> recalls) {
    if (recalls.isEmpty()) {
      return;
    }
    long epoch = knownEpoch();
    Map<String, Member> live = context.members().live();
    recalls.forEach(
        (incarnation, lines) -> {
          Member member = live.get(incarnation);
          if (incarnation.equals(lease.incarnation())) {
            holderLedger.recordRecall(epoch, lines);
          } else if (member != null) {
            sendRecallHint(member, epoch, lease.incarnation(), lines);
          }
        });
  }

  private boolean isMember(String incarnation) {
    return context.members().live().containsKey(incarnation)
        && !context.fleet().isExpired(incarnation);
  }

  /**
   * Handles an exchange of a holder; replies with the known coordinator if it is not this host in
   * this epoch.
   */
  ShareGrant exchange(String sender, ShareExchange exchange) {
    ShareGrant grant;
    Map<String, List<GrantLine>> recalls;
    synchronized (this) {
      CoordinatorLedger currentLedger = ledger;
      if (currentLedger == null
          || exchange.getSequence() == 0
          || currentLedger.epoch() != exchange.getEpoch()) {
        // A member that closed this epoch can exchange shares again only in the next one.
        renewalRequested |= currentLedger != null && currentLedger.epoch() <= exchange.getEpoch();
        return ShareGrant.newBuilder()
            .setOutcome(ShareGrant.Outcome.NOT_HOME)
            .setEpoch(knownEpoch)
            .setHome(knownCoordinator)
            .build();
      }
      if (!lease.isUsable() || !isMember(sender)) {
        return ShareGrant.newBuilder().setOutcome(ShareGrant.Outcome.REFUSED).build();
      }
      long now = context.clock().nanoTime();
      updateLedger(currentLedger, now);
      grant = currentLedger.exchange(sender, exchange, now);
      // A member of this epoch accepts no grant of earlier epochs, and its share is recorded.
      closedMembers.add(sender);
      recalls = currentLedger.isActive() ? currentLedger.recalls(now) : Map.of();
    }
    sendRecalls(recalls);
    return grant;
  }

  /** Closes an epoch at this host, both as its coordinator and as a holder. */
  synchronized CloseReport close(long epoch) {
    if (ledger != null && ledger.epoch() <= epoch) {
      dropLedger();
    }
    return holderLedger.close(epoch);
  }
}
