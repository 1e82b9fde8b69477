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
 * Takes part in one group of limits: finds its home, becomes the home if there is none, and serves
 * the others while it is.
 *
 * <p>Thread-safe. Messages are sent and futures completed without a lock held.
 */
final class GroupHome {

  /**
   * Time after which a fenced incarnation, or one that was removed from the members, certainly uses
   * nothing any more: the freshness bound of 1,500 ms and 5% for clocks that drift.
   */
  static final long LAPSE_WAIT_NANOS = 1_575_000_000L;

  /** Wait before a removed member counts as gone: the news of the removal takes one more bound. */
  static final long REMOVED_WAIT_NANOS = 2 * LAPSE_WAIT_NANOS;

  /** Time between two tries to become the home; bounds the store calls during an outage. */
  private static final long ELECTION_PERIOD_NANOS = 500_000_000L;

  /** Time between two looks for reclaims, changed totals and recalls. */
  private static final long MAINTENANCE_PERIOD_NANOS = 50_000_000L;

  private final int group;
  private final LimitsContext context;
  private final HostLease lease;
  private final HolderLedger holder;
  private final Supplier<Map<String, LimitSpec>> specs;
  private final Map<String, Long> absentSince = new HashMap<>();
  private final Set<String> closedMembers = new HashSet<>();
  private @Nullable HomeLedger ledger;
  private @Nullable Election election;
  private long knownEpoch;
  private String knownHome = "";
  private long activeAt;
  private long maintainedAt;
  private long nextElectionAt;
  private boolean renewalAsked;

  GroupHome(
      int group,
      LimitsContext context,
      HostLease lease,
      HolderLedger holder,
      Supplier<Map<String, LimitSpec>> specs) {
    this.group = group;
    this.context = context;
    this.lease = lease;
    this.holder = holder;
    this.specs = specs;
    this.nextElectionAt = context.clock().nanoTime();
    this.maintainedAt = nextElectionAt - MAINTENANCE_PERIOD_NANOS;
  }

  HolderLedger holder() {
    return holder;
  }

  synchronized String knownHome() {
    return knownHome;
  }

  synchronized long knownEpoch() {
    return knownEpoch;
  }

  synchronized @Nullable HomeLedger ledger() {
    return ledger;
  }

  /** Returns the pool of a limit, empty if this host is not its home or may not grant yet. */
  synchronized Optional<Share> pool(String limit) {
    HomeLedger home = ledger;
    if (home == null || !home.isActive()) {
      return Optional.empty();
    }
    return Optional.ofNullable(home.accounts().get(limit))
        .map(account -> account.pool(context.clock().nanoTime()));
  }

  /** Drops everything that belongs to the old incarnation. */
  synchronized void reset() {
    dropLedger();
    election = null;
    holder.reset();
  }

  private void dropLedger() {
    if (ledger != null) {
      context.events().log(LimitsEvent.HOME_LOST, group, ledger.epoch());
      ledger = null;
    }
  }

  /** Follows a newer home. */
  synchronized void adopt(long epoch, String home) {
    if (epoch > knownEpoch) {
      knownEpoch = epoch;
      knownHome = home;
      renewalAsked = false;
      if (ledger != null && ledger.epoch() < epoch) {
        dropLedger();
      }
    }
    holder.adopt(epoch, home);
  }

  /** Does the periodic work. */
  void tick() {
    elect();
    Map<String, List<GrantLine>> recalls = maintain();
    sendRecalls(recalls);
    sendUnclosed();
  }

  private void elect() {
    Election running;
    boolean isNew;
    synchronized (this) {
      isNew = election == null;
      running = isNew ? newElection() : election;
      if (running == null) {
        return;
      }
      if (isNew) {
        election = running;
        nextElectionAt = context.clock().nanoTime() + ELECTION_PERIOD_NANOS;
      }
    }
    if (isNew) {
      running.start();
    } else {
      running.tick();
    }
  }

  private @Nullable Election newElection() {
    if (context.clock().nanoTime() - nextElectionAt < 0 || !lease.isUsable()) {
      return null;
    }
    boolean own = knownHome.equals(lease.incarnation());
    boolean renew = own && (ledger == null || renewalAsked);
    if (!renew) {
      Member candidate = context.members().candidate(group);
      boolean mine = candidate != null && candidate.incarnation().equals(lease.incarnation());
      if (!mine || context.members().canBeHome(knownHome)) {
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
        take(incarnation, epoch, reports, closedAt);
      }

      @Override
      public void lost(long epoch, String home) {
        endElection();
        adopt(epoch, home);
      }

      @Override
      public void failed() {
        endElection();
      }

      @Override
      public CloseReport closeHere(long epoch) {
        return close(epoch);
      }
    };
  }

  private synchronized void endElection() {
    election = null;
  }

  private void take(
      String incarnation, long epoch, Map<String, List<ShareLine>> reports, long closedAt) {
    synchronized (this) {
      election = null;
      if (!lease.isCurrent() || !incarnation.equals(lease.incarnation())) {
        return;
      }
      if (!holder.adopt(epoch, incarnation)) {
        return;
      }
      knownEpoch = epoch;
      knownHome = incarnation;
      renewalAsked = false;
      long now = context.clock().nanoTime();
      HomeLedger taken = new HomeLedger(epoch, incarnation, specs.get(), now);
      reports.forEach((member, lines) -> taken.report(member, lines, now));
      ledger = taken;
      activeAt = closedAt + LAPSE_WAIT_NANOS;
      closedMembers.clear();
      closedMembers.addAll(reports.keySet());
      absentSince.clear();
    }
    context.events().log(LimitsEvent.HOME_TAKEN, group, epoch);
    announce(epoch, incarnation);
  }

  private void announce(long epoch, String incarnation) {
    for (Member member : context.members().live().values()) {
      if (!member.incarnation().equals(incarnation)) {
        hint(member, epoch, incarnation, List.of());
      }
    }
  }

  private void hint(Member member, long epoch, String home, List<GrantLine> lines) {
    RecallHint hint =
        RecallHint.newBuilder()
            .setGroup(group)
            .setEpoch(epoch)
            .setHome(home)
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
    HomeLedger home = ledger;
    if (home == null) {
      return Map.of();
    }
    long now = context.clock().nanoTime();
    if (now - maintainedAt < MAINTENANCE_PERIOD_NANOS) {
      return Map.of();
    }
    maintainedAt = now;
    refresh(home, now);
    Map<String, Member> live = context.members().live();
    for (String one : home.holders()) {
      if (isGone(one, live, now) && home.reclaim(one, now)) {
        context.events().log(LimitsEvent.SHARES_RECLAIMED, group, one);
      }
    }
    if (!home.isActive() && now - activeAt >= 0 && closedMembers.containsAll(live.keySet())) {
      home.activate();
    }
    return home.isActive() && lease.isUsable() ? home.recalls(now) : Map.of();
  }

  private void refresh(HomeLedger home, long now) {
    home.totals(specs.get(), now);
    Map<String, Boolean> members = new TreeMap<>();
    for (Member member : context.members().live().values()) {
      members.put(member.incarnation(), !member.leaving());
    }
    home.members(members, now);
  }

  private boolean isGone(String incarnation, Map<String, Member> live, long now) {
    if (context.fleet().isLapsed(incarnation)) {
      return true;
    }
    if (live.containsKey(incarnation)) {
      absentSince.remove(incarnation);
      return false;
    }
    return now - absentSince.computeIfAbsent(incarnation, key -> now) >= REMOVED_WAIT_NANOS;
  }

  /** Closes the epoch before at members that joined while it was closed elsewhere. */
  private void sendUnclosed() {
    long closing;
    Map<String, Member> unclosed;
    synchronized (this) {
      if (ledger == null || ledger.isActive() || context.clock().nanoTime() - activeAt < 0) {
        return;
      }
      closing = ledger.epoch() - 1;
      unclosed = new TreeMap<>(context.members().live());
      unclosed.keySet().removeAll(closedMembers);
    }
    byte[] body = CloseShares.newBuilder().setGroup(group).setEpoch(closing).build().toByteArray();
    for (Member member : unclosed.values()) {
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
                  noteClosed(member.incarnation(), closing + 1, result.get());
                }
              });
    }
  }

  private synchronized void noteClosed(String incarnation, long epoch, byte[] body) {
    CloseReport report = Messages.read(CloseReport.parser(), body);
    if (ledger != null && ledger.epoch() == epoch && report != null && report.getClosed()) {
      ledger.report(incarnation, report.getLinesList(), context.clock().nanoTime());
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
            holder.hint(epoch, lines);
          } else if (member != null) {
            hint(member, epoch, lease.incarnation(), lines);
          }
        });
  }

  private boolean isMember(String incarnation) {
    return context.members().live().containsKey(incarnation)
        && !context.fleet().isLapsed(incarnation);
  }

  /** Answers an exchange. */
  ShareGrant exchange(String sender, ShareExchange exchange) {
    ShareGrant grant;
    Map<String, List<GrantLine>> recalls;
    synchronized (this) {
      HomeLedger home = ledger;
      if (home == null || exchange.getSequence() == 0 || home.epoch() != exchange.getEpoch()) {
        // A member that closed this epoch can only go on in the next one.
        renewalAsked |= home != null && home.epoch() <= exchange.getEpoch();
        return ShareGrant.newBuilder()
            .setOutcome(ShareGrant.Outcome.NOT_HOME)
            .setEpoch(knownEpoch)
            .setHome(knownHome)
            .build();
      }
      if (!lease.isUsable() || !isMember(sender)) {
        return ShareGrant.newBuilder().setOutcome(ShareGrant.Outcome.REFUSED).build();
      }
      long now = context.clock().nanoTime();
      refresh(home, now);
      grant = home.exchange(sender, exchange, now);
      // Whoever takes part in this epoch accepts nothing of earlier ones, and its share is booked.
      closedMembers.add(sender);
      recalls = home.isActive() ? home.recalls(now) : Map.of();
    }
    sendRecalls(recalls);
    return grant;
  }

  /** Closes an epoch at this host, as its home and as a holder. */
  synchronized CloseReport close(long epoch) {
    if (ledger != null && ledger.epoch() <= epoch) {
      dropLedger();
    }
    return holder.close(epoch);
  }
}
