package verbenahatch.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the books of one limit at its home: the pool and what each holder holds.
 *
 * <p>Shares out, plus the pool, less the debt always equal the total. A debt arises when a total
 * falls below what is out; returns pay it first. Not thread-safe; the group's lock guards it.
 */
final class HomeAccount {

  /** What one holder holds and asks for, in millionths of a token. */
  static final class Holding {
    long rate;
    long burst;
    long demand;
    long wanted;
    long targetRate;
    long targetBurst;
  }

  private final Map<String, Holding> holdings = new HashMap<>();
  private final LocalBucket pool;
  private LimitSpec spec;
  private long debtRate;
  private long debtBurst;

  HomeAccount(LimitSpec spec, long now) {
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

  /** Returns the pool, negative while shares above a lowered total are out. */
  Share pool(long now) {
    Share there = pool.share(now);
    return new Share(there.rate() - debtRate, there.burst() - debtBurst, there.tokens());
  }

  boolean inDebt() {
    return debtRate > 0 || debtBurst > 0;
  }

  /** Tells whether requests wait for tokens at some holder. */
  boolean isAnyWaiting() {
    for (Holding holding : holdings.values()) {
      if (holding.wanted > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns the sum of the shares that are out. */
  Share out() {
    long rate = 0;
    long burst = 0;
    for (Holding holding : holdings.values()) {
      rate += holding.rate;
      burst += holding.burst;
    }
    return new Share(rate, burst, 0);
  }

  /** Changes the total. What is added starts without tokens. */
  void total(LimitSpec changed, long now) {
    long rate = changed.rate() - spec.rate();
    long burst = changed.burst() - spec.burst();
    spec = changed;
    credit(Math.max(0, rate), Math.max(0, burst), 0, now);
    debit(Math.max(0, -rate), Math.max(0, -burst), now);
  }

  /** Books a share that a holder reported and that was not known here. */
  void found(String holder, long rate, long burst, long now) {
    Holding holding = holding(holder);
    holding.rate += rate;
    holding.burst += burst;
    debit(rate, burst, now);
  }

  /** Books what a holder returned; more than it held is not believed. */
  void returned(String holder, Share share, long now) {
    Holding holding = holding(holder);
    long rate = Math.min(holding.rate, share.rate());
    long burst = Math.min(holding.burst, share.burst());
    holding.rate -= rate;
    holding.burst -= burst;
    credit(rate, burst, Math.min(burst, share.tokens()), now);
  }

  /** Takes a share out of the pool for a holder, at most what is there. */
  Share grant(String holder, long rate, long burst, long now) {
    Share there = pool.share(now);
    Share granted =
        pool.removeAbove(
            there.rate() - Math.min(there.rate(), Math.max(0, rate)),
            there.burst() - Math.min(there.burst(), Math.max(0, burst)),
            now);
    Holding holding = holding(holder);
    holding.rate += granted.rate();
    holding.burst += granted.burst();
    return granted;
  }

  /** Moves the share of a holder that is certainly gone to the pool, without tokens. */
  Share reclaim(String holder, long now) {
    Holding gone = holdings.remove(holder);
    if (gone == null) {
      return Share.NONE;
    }
    credit(gone.rate, gone.burst, 0, now);
    return new Share(gone.rate, gone.burst, 0);
  }

  private void credit(long rate, long burst, long tokens, long now) {
    long paidRate = Math.min(debtRate, rate);
    long paidBurst = Math.min(debtBurst, burst);
    debtRate -= paidRate;
    debtBurst -= paidBurst;
    long left = burst - paidBurst;
    // Slots have no refill: what is in the pool is free.
    long usable = spec.kind() == LimitKind.SLOTS ? left : Math.min(left, tokens);
    pool.add(new Share(rate - paidRate, left, usable), now);
  }

  private void debit(long rate, long burst, long now) {
    Share there = pool.share(now);
    Share removed =
        pool.removeAbove(Math.max(0, there.rate() - rate), Math.max(0, there.burst() - burst), now);
    debtRate += rate - removed.rate();
    debtBurst += burst - removed.burst();
  }
}
