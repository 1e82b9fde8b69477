package verbenahatch.limits;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import verbenahatch.limits.HomeAccount.Holding;
import verbenahatch.peer.generated.GrantLine;
import verbenahatch.peer.generated.ShareAmount;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;
import verbenahatch.peer.generated.ShareLine;

/**
 * Keeps the home's side of the exchange of one group in one epoch.
 *
 * <p>A repeated sequence number gets the stored answer, so that a retransmitted exchange changes
 * nothing. Not thread-safe; the group's lock guards it. All times are readings of the monotonic
 * clock in nanoseconds.
 */
final class HomeLedger {

  /** Longest time for which targets stay as they are. */
  static final long DIVISION_PERIOD_NANOS = 250_000_000L;

  /** Shortest time between two hints to one holder. */
  static final long HINT_PERIOD_NANOS = 60_000_000L;

  /**
   * Time for which the demand must reach the total before requests are refused without a wait.
   * Callers that move are counted at two hosts until the older estimate has decayed.
   */
  static final long SCARCE_AFTER_NANOS = 1_500_000_000L;

  private static final class Session {
    long sequence;
    long hintedAt;
    @Nullable ShareGrant stored;

    Session(long now) {
      hintedAt = now - HINT_PERIOD_NANOS;
    }
  }

  private final long epoch;
  private final String home;
  private final Map<String, HomeAccount> accounts = new TreeMap<>();
  private final Map<String, Long> scarceSince = new HashMap<>();
  private final Map<String, Session> sessions = new HashMap<>();
  private Map<String, Boolean> members = new TreeMap<>();
  private boolean active;
  private long dividedAt;

  HomeLedger(long epoch, String home, Map<String, LimitSpec> specs, long now) {
    this.epoch = epoch;
    this.home = home;
    this.dividedAt = now - DIVISION_PERIOD_NANOS;
    specs.values().forEach(spec -> accounts.put(spec.name(), new HomeAccount(spec, now)));
  }

  long epoch() {
    return epoch;
  }

  Map<String, HomeAccount> accounts() {
    return accounts;
  }

  boolean isActive() {
    return active;
  }

  /** Allows grants, once every share of earlier epochs is reported or has lapsed. */
  void activate() {
    active = true;
  }

  /**
   * Books the shares that a holder reported when it closed the epoch before. A report that comes
   * after the first exchange is older than the books and ignored.
   */
  void report(String holder, List<ShareLine> lines, long now) {
    Session session = sessions.get(holder);
    if (session != null && session.sequence > 0) {
      return;
    }
    for (ShareLine line : lines) {
      reconcile(holder, line.getLimit(), Share.of(line.getHeld()), now);
    }
  }

  private void reconcile(String holder, String limit, Share held, long now) {
    HomeAccount account = account(limit, now);
    Holding holding = account.holding(holder);
    long rate = Math.max(0, held.rate() - holding.rate);
    long burst = Math.max(0, held.burst() - holding.burst);
    account.found(holder, rate, burst, now);
  }

  private HomeAccount account(String limit, long now) {
    return accounts.computeIfAbsent(limit, name -> new HomeAccount(LimitSpec.absent(name), now));
  }

  /** Follows the totals of the document in force; limits it does not state have a total of 0. */
  void totals(Map<String, LimitSpec> specs, long now) {
    for (LimitSpec spec : specs.values()) {
      HomeAccount account = account(spec.name(), now);
      if (!account.spec().equals(spec)) {
        account.total(spec, now);
        dividedAt = now - DIVISION_PERIOD_NANOS;
      }
    }
    for (HomeAccount account : accounts.values()) {
      String name = account.spec().name();
      if (!specs.containsKey(name) && !account.spec().equals(LimitSpec.absent(name))) {
        account.total(LimitSpec.absent(name), now);
        dividedAt = now - DIVISION_PERIOD_NANOS;
      }
    }
  }

  /** Follows the live members; the value tells whether one takes part in the even spread. */
  void members(Map<String, Boolean> live, long now) {
    if (!members.equals(live)) {
      members = new TreeMap<>(live);
      dividedAt = now - DIVISION_PERIOD_NANOS;
    }
  }

  /** Returns every holder with books here. */
  Collection<String> holders() {
    List<String> holders = new ArrayList<>(sessions.keySet());
    for (HomeAccount account : accounts.values()) {
      for (String holder : account.holdings().keySet()) {
        if (!holders.contains(holder)) {
          holders.add(holder);
        }
      }
    }
    return holders;
  }

  /** Moves all shares of a holder that is certainly gone to the pool; true if there were any. */
  boolean reclaim(String holder, long now) {
    boolean any = false;
    sessions.remove(holder);
    for (HomeAccount account : accounts.values()) {
      any |= !account.reclaim(holder, now).isEmpty();
    }
    return any;
  }

  /** Answers an exchange of a live member. */
  ShareGrant exchange(String holder, ShareExchange exchange, long now) {
    Session session = sessions.computeIfAbsent(holder, key -> new Session(now));
    if (session.stored != null && exchange.getSequence() == session.sequence) {
      return session.stored;
    }
    if (exchange.getSequence() != session.sequence + 1) {
      return ShareGrant.newBuilder().setOutcome(ShareGrant.Outcome.REFUSED).build();
    }
    boolean first = session.sequence == 0;
    session.sequence++;
    boolean urgent = false;
    for (ShareLine line : exchange.getLinesList()) {
      urgent |= line.getWanted() > 0;
      book(holder, line, first, now);
    }
    if (urgent || now - dividedAt >= DIVISION_PERIOD_NANOS) {
      divide(now);
    }
    ShareGrant.Builder grant =
        ShareGrant.newBuilder()
            .setOutcome(ShareGrant.Outcome.GRANTED)
            .setEpoch(epoch)
            .setHome(home)
            .setSequence(session.sequence);
    for (ShareLine line : exchange.getLinesList()) {
      grant.addLines(answer(holder, line.getLimit(), now));
    }
    session.stored = grant.build();
    return session.stored;
  }

  private void book(String holder, ShareLine line, boolean first, long now) {
    HomeAccount account = account(line.getLimit(), now);
    Holding holding = account.holding(holder);
    Share held = Share.of(line.getHeld());
    Share returned = Share.of(line.getReturned());
    if (first) {
      // A member that joined while the epoch before was closed may hold more than was reported.
      reconcile(holder, line.getLimit(), held.plus(returned), now);
    }
    account.returned(holder, returned, now);
    holding.demand = Math.max(0, line.getDemand());
    holding.wanted = Math.max(0, line.getWanted());
  }

  private void divide(long now) {
    dividedAt = now;
    for (HomeAccount account : accounts.values()) {
      String name = account.spec().name();
      if (HomeDivision.divide(account, members, isScarce(name, now))) {
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

  private GrantLine answer(String holder, String limit, long now) {
    HomeAccount account = account(limit, now);
    Holding holding = account.holding(holder);
    GrantLine.Builder line = GrantLine.newBuilder().setLimit(limit);
    boolean scarce = isScarce(limit, now);
    if (active && !account.inDebt()) {
      long rate = holding.targetRate - holding.rate;
      // A holder at its target may still lack tokens that others returned.
      long burst = Math.max(holding.targetBurst - holding.burst, scarce ? 0 : holding.wanted);
      line.setGranted(account.grant(holder, rate, burst, now).toMessage());
    }
    if (HomeDivision.hasExcess(account, holding, !scarce && account.isAnyWaiting())) {
      line.setKeep(keep(holding));
    }
    return line.setScarce(scarce).build();
  }

  private static ShareAmount keep(Holding holding) {
    return new Share(holding.targetRate, holding.targetBurst, 0).toMessage();
  }

  /** Returns the recalls to send now because some holder is short or a total fell. */
  Map<String, List<GrantLine>> recalls(long now) {
    Map<String, List<GrantLine>> recalls = new TreeMap<>();
    for (HomeAccount account : accounts.values()) {
      if (!account.inDebt() && !isAnyShort(account)) {
        continue;
      }
      boolean waiting = account.isAnyWaiting() && !isScarce(account.spec().name(), now);
      for (Map.Entry<String, Holding> entry : account.holdings().entrySet()) {
        if (HomeDivision.hasExcess(account, entry.getValue(), waiting)) {
          GrantLine line =
              GrantLine.newBuilder()
                  .setLimit(account.spec().name())
                  .setKeep(keep(entry.getValue()))
                  .build();
          recalls.computeIfAbsent(entry.getKey(), key -> new ArrayList<>()).add(line);
        }
      }
    }
    recalls.keySet().removeIf(holder -> !mayHint(holder, now));
    return recalls;
  }

  private boolean mayHint(String holder, long now) {
    Session session = sessions.computeIfAbsent(holder, key -> new Session(now));
    if (now - session.hintedAt < HINT_PERIOD_NANOS) {
      return false;
    }
    session.hintedAt = now;
    return true;
  }

  private static boolean isAnyShort(HomeAccount account) {
    for (Holding holding : account.holdings().values()) {
      if (HomeDivision.isShort(account, holding)) {
        return true;
      }
    }
    return false;
  }
}
