package verbenahatch.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.limits.LimitAccount.Holding;
import verbenahatch.peer.generated.GrantLine;
import verbenahatch.peer.generated.ShareAmount;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;
import verbenahatch.peer.generated.ShareLine;

/**
 * Holds the coordinator's state of the share exchange of one group in one epoch.
 *
 * <p>An exchange with a repeated sequence number gets the stored grant, so that a retransmission
 * changes nothing. Not thread-safe; guarded by the lock of the group. All times are readings of the
 * monotonic clock in nanoseconds.
 */
final class CoordinatorLedger {

  /** Longest time for which the target shares stay unchanged. */
  static final long ALLOCATION_PERIOD_NANOS = 250_000_000L;

  /** Shortest time between two recalls sent to one holder. */
  static final long RECALL_PERIOD_NANOS = 60_000_000L;

  /**
   * Time for which the demand must reach the total before a limit counts as scarce and excess
   * requests are refused without a wait. Callers that move to another host are counted at both
   * hosts until the older estimate has decayed.
   */
  static final long SCARCE_AFTER_NANOS = 1_500_000_000L;

  private static final class Session {
    long sequence;
    long recalledAt;
    @Nullable ShareGrant lastGrant;

    Session(long now) {
      recalledAt = now - RECALL_PERIOD_NANOS;
    }
  }

  private final long epoch;
  private final String coordinator;
  private final Map<String, LimitAccount> accounts = new TreeMap<>();
  private final Map<String, Long> scarceSince = new HashMap<>();
  private final Map<String, Session> sessions = new HashMap<>();
  private Map<String, Boolean> members = new TreeMap<>();
  private boolean active;
  private long allocatedAt;

  CoordinatorLedger(long epoch, String coordinator, Map<String, LimitSpec> specs, long now) {
    this.epoch = epoch;
    this.coordinator = coordinator;
    this.allocatedAt = now - ALLOCATION_PERIOD_NANOS;
    specs.values().forEach(spec -> accounts.put(spec.name(), new LimitAccount(spec, now)));
  }

  long epoch() {
    return epoch;
  }

  Map<String, LimitAccount> accounts() {
    return accounts;
  }

  boolean isActive() {
    return active;
  }

  /**
   * Allows grants. Must be called only once every share of earlier epochs is reported or has
   * expired.
   */
  void activate() {
    active = true;
  }

  /**
   * Adds the shares that a holder reported when it closed the previous epoch. A report that arrives
   * after the first exchange is ignored, because it is older than the recorded shares.
   */
  void addReport(String holder, List<ShareLine> lines, long now) {
    Session session = sessions.get(holder);
    if (session != null && session.sequence > 0) {
      return;
    }
    for (ShareLine line : lines) {
      reconcile(holder, line.getLimit(), Share.of(line.getHeld()), now);
    }
  }

  private void reconcile(String holder, String limit, Share held, long now) {
    LimitAccount account = account(limit, now);
    Holding holding = account.holding(holder);
    long rate = Math.max(0, held.rate() - holding.rate);
    long burst = Math.max(0, held.burst() - holding.burst);
    account.addReported(holder, rate, burst, now);
  }

  private LimitAccount account(String limit, long now) {
    return accounts.computeIfAbsent(limit, name -> new LimitAccount(LimitSpec.absent(name), now));
  }

  /**
   * Applies the totals of the document in force; limits that it does not contain get a total of 0.
   */
  void updateTotals(Map<String, LimitSpec> specs, long now) {
    for (LimitSpec spec : specs.values()) {
      LimitAccount account = account(spec.name(), now);
      if (!account.spec().equals(spec)) {
        account.changeTotal(spec, now);
        allocatedAt = now - ALLOCATION_PERIOD_NANOS;
      }
    }
    for (LimitAccount account : accounts.values()) {
      String name = account.spec().name();
      if (!specs.containsKey(name) && !account.spec().equals(LimitSpec.absent(name))) {
        account.changeTotal(LimitSpec.absent(name), now);
        allocatedAt = now - ALLOCATION_PERIOD_NANOS;
      }
    }
  }

  /** Sets the live members; the value is whether a member receives slack that is spread evenly. */
  void updateMembers(Map<String, Boolean> live, long now) {
    if (!members.equals(live)) {
      members = new TreeMap<>(live);
      allocatedAt = now - ALLOCATION_PERIOD_NANOS;
    }
  }

  /** Returns every holder with a session or a share here. */
  Collection<String> holders() {
    List<String> holders = new ArrayList<>(sessions.keySet());
    for (LimitAccount account : accounts.values()) {
      for (String holder : account.holdings().keySet()) {
        if (!holders.contains(holder)) {
          holders.add(holder);
        }
      }
    }
    return holders;
  }

  /**
   * Moves all shares of a holder whose lease has expired to the pool; returns whether there were
   * any.
   */
  boolean reclaim(String holder, long now) {
    boolean reclaimed = false;
    sessions.remove(holder);
    for (LimitAccount account : accounts.values()) {
      reclaimed |= !account.reclaim(holder, now).isEmpty();
    }
    return reclaimed;
  }

  /**
   * Applies an exchange of a live member and returns the grant; refuses an unexpected sequence
   * number.
   */
  ShareGrant exchange(String holder, ShareExchange exchange, long now) {
    Session session = sessions.computeIfAbsent(holder, key -> new Session(now));
    if (session.lastGrant != null && exchange.getSequence() == session.sequence) {
      return session.lastGrant;
    }
    if (exchange.getSequence() != session.sequence + 1) {
      return ShareGrant.newBuilder().setOutcome(ShareGrant.Outcome.REFUSED).build();
    }
    boolean firstExchange = session.sequence == 0;
    session.sequence++;
    boolean anyWaiting = false;
    for (ShareLine line : exchange.getLinesList()) {
      anyWaiting |= line.getWanted() > 0;
      recordLine(holder, line, firstExchange, now);
    }
    if (anyWaiting || now - allocatedAt >= ALLOCATION_PERIOD_NANOS) {
      allocate(now);
    }
    ShareGrant.Builder grant =
        ShareGrant.newBuilder()
            .setOutcome(ShareGrant.Outcome.GRANTED)
            .setEpoch(epoch)
            .setHome(coordinator)
            .setSequence(session.sequence);
    for (ShareLine line : exchange.getLinesList()) {
      grant.addLines(grantLine(holder, line.getLimit(), now));
    }
    session.lastGrant = grant.build();
    return session.lastGrant;
  }

  private void recordLine(String holder, ShareLine line, boolean firstExchange, long now) {
    LimitAccount account = account(line.getLimit(), now);
    Holding holding = account.holding(holder);
    Share held = Share.of(line.getHeld());
    Share returned = Share.of(line.getReturned());
    if (firstExchange) {
      // A member that joined while the previous epoch was closed may hold more than was reported.
      reconcile(holder, line.getLimit(), held.plus(returned), now);
    }
    account.addReturned(holder, returned, now);
    holding.demand = Math.max(0, line.getDemand());
    holding.waitingTokens = Math.max(0, line.getWanted());
  }

  private void allocate(long now) {
    allocatedAt = now;
    for (LimitAccount account : accounts.values()) {
      String name = account.spec().name();
      if (ShareAllocator.allocate(account, members, isScarce(name, now))) {
        scarceSince.putIfAbsent(name, now);
      } else {
        scarceSince.remove(name);
      }
    }
  }

  private boolean isScarce(String limit, long now) {
    Long since = scarceSince.get(limit);
    return since != null && now - since >= SCARCE_AFTER_NANOS;
  }

  private GrantLine grantLine(String holder, String limit, long now) {
    LimitAccount account = account(limit, now);
    Holding holding = account.holding(holder);
    GrantLine.Builder line = GrantLine.newBuilder().setLimit(limit);
    boolean scarce = isScarce(limit, now);
    if (active && !account.inDebt()) {
      long rate = holding.targetRate - holding.rate;
      // A holder at its target may still need tokens that other holders returned.
      long burst =
          Math.max(holding.targetBurst - holding.burst, scarce ? 0 : holding.waitingTokens);
      line.setGranted(account.grant(holder, rate, burst, now).toMessage());
    }
    if (ShareAllocator.hasExcess(account, holding, !scarce && account.isAnyWaiting())) {
      line.setKeep(keepAmount(holding));
    }
    return line.setScarce(scarce).build();
  }

  private static ShareAmount keepAmount(Holding holding) {
    return new Share(holding.targetRate, holding.targetBurst, 0).toMessage();
  }

  /**
   * Returns the recalls to send now, by holder, because some holder is below its target or a total
   * was lowered.
   */
  Map<String, List<GrantLine>> recalls(long now) {
    Map<String, List<GrantLine>> recalls = new TreeMap<>();
    for (LimitAccount account : accounts.values()) {
      if (!account.inDebt() && !isAnyShort(account)) {
        continue;
      }
      boolean waiting = account.isAnyWaiting() && !isScarce(account.spec().name(), now);
      for (Map.Entry<String, Holding> entry : account.holdings().entrySet()) {
        if (ShareAllocator.hasExcess(account, entry.getValue(), waiting)) {
          GrantLine line =
              GrantLine.newBuilder()
                  .setLimit(account.spec().name())
                  .setKeep(keepAmount(entry.getValue()))
                  .build();
          recalls.computeIfAbsent(entry.getKey(), key -> new ArrayList<>()).add(line);
        }
      }
    }
    recalls.keySet().removeIf(holder -> !maySendRecall(holder, now));
    return recalls;
  }

  private boolean maySendRecall(String holder, long now) {
    Session session = sessions.computeIfAbsent(holder, key -> new Session(now));
    if (now - session.recalledAt < RECALL_PERIOD_NANOS) {
      return false;
    }
    session.recalledAt = now;
    return true;
  }

  private static boolean isAnyShort(LimitAccount account) {
    for (Holding holding : account.holdings().values()) {
      if (ShareAllocator.isShort(account, holding)) {
        return true;
      }
    }
    return false;
  }
}
