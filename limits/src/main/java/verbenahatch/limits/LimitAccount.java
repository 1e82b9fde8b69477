package verbenahatch.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Accounts for one limit at its coordinator: the pool and the share of each holder.
 *
 * <p>Outstanding shares plus the pool minus the debt always equal the total. A debt arises when the
 * total falls below the outstanding shares; returned shares reduce the debt first. Not thread-safe;
 * guarded by the lock of the group. All times are readings of the monotonic clock in nanoseconds.
 */
final class LimitAccount {

  /** The share, demand and target of one holder, in millionths of a token (rates: per second). */
  static final class Holding {
    long rate;
    long burst;
    long demand;
    long waitingTokens;
    long targetRate;
    long targetBurst;
  }

  private final Map<String, Holding> holdings = new HashMap<>();
  private final LocalBucket pool;
  private LimitSpec spec;
  private long debtRate;
  private long debtBurst;

  LimitAccount(LimitSpec spec, long now) {
    this.spec = spec;
    this.pool = new LocalBucket(spec.kind(), now);
    credit(spec.rate(), spec.burst(), 0, now);
  }

  LimitSpec spec() {
    return spec;
  }

  Map<String, Holding> holdings() {
    return holdings;
  }

  Holding holding(String holder) {
    return holdings.computeIfAbsent(holder, key -> new Holding());
  }

  /** Returns the pool; negative while the outstanding shares exceed a lowered total. */
  Share pool(long now) {
    Share available = pool.share(now);
    return new Share(
        available.rate() - debtRate, available.burst() - debtBurst, available.tokens());
  }

  boolean inDebt() {
    return debtRate > 0 || debtBurst > 0;
  }

  /** Returns whether requests wait for tokens at some holder. */
  boolean isAnyWaiting() {
    for (Holding holding : holdings.values()) {
      if (holding.waitingTokens > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the sum of the outstanding shares, without tokens. */
  Share outstanding() {
    long rate = 0;
    long burst = 0;
    for (Holding holding : holdings.values()) {
      rate += holding.rate;
      burst += holding.burst;
    }
    return new Share(rate, burst, 0);
  }

  /** Changes the total. An increase starts without tokens. */
  void changeTotal(LimitSpec changed, long now) {
    long rate = changed.rate() - spec.rate();
    long burst = changed.burst() - spec.burst();
    spec = changed;
    credit(Math.max(0, rate), Math.max(0, burst), 0, now);
    debit(Math.max(0, -rate), Math.max(0, -burst), now);
  }

  /** Adds a reported share, which this account did not contain yet, to a holder. */
  void addReported(String holder, long rate, long burst, long now) {
    Holding holding = holding(holder);
    holding.rate += rate;
    holding.burst += burst;
    debit(rate, burst, now);
  }

  /**
   * Moves a returned share from a holder to the pool; anything above the recorded share is ignored.
   */
  void addReturned(String holder, Share share, long now) {
    Holding holding = holding(holder);
    long rate = Math.min(holding.rate, share.rate());
    long burst = Math.min(holding.burst, share.burst());
    holding.rate -= rate;
    holding.burst -= burst;
    credit(rate, burst, Math.min(burst, share.tokens()), now);
  }

  /** Moves a share from the pool to a holder, at most what the pool contains. */
  Share grant(String holder, long rate, long burst, long now) {
    Share available = pool.share(now);
    Share granted =
        pool.removeAbove(
            available.rate() - Math.min(available.rate(), Math.max(0, rate)),
            available.burst() - Math.min(available.burst(), Math.max(0, burst)),
            now);
    Holding holding = holding(holder);
    holding.rate += granted.rate();
    holding.burst += granted.burst();
    return granted;
  }

  /**
   * Moves the share of a holder whose lease has expired to the pool, without tokens; returns the
   * share.
   */
  Share reclaim(String holder, long now) {
    Holding removed = holdings.remove(holder);
    if (removed == null) {
      return Share.NONE;
    }
    credit(removed.rate, removed.burst, 0, now);
    return new Share(removed.rate, removed.burst, 0);
  }

  private void credit(long rate, long burst, long tokens, long now) {
    long repaidRate = Math.min(debtRate, rate);
    long repaidBurst = Math.min(debtBurst, burst);
    debtRate -= repaidRate;
    debtBurst -= repaidBurst;
    long remainingBurst = burst - repaidBurst;
    // Slots do not refill; every slot in the pool is free.
    long usable =
        spec.kind() == LimitKind.SLOTS ? remainingBurst : Math.min(remainingBurst, tokens);
    pool.add(new Share(rate - repaidRate, remainingBurst, usable), now);
  }

  private void debit(long rate, long burst, long now) {
    Share available = pool.share(now);
    Share taken =
        pool.removeAbove(
            Math.max(0, available.rate() - rate), Math.max(0, available.burst() - burst), now);
    debtRate += rate - taken.rate();
    debtBurst += burst - taken.burst();
  }
}
