package verbenahatch.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import verbenahatch.limits.LimitAccount.Holding;

/**
 * Sets the target share of each holder of one limit from its demand, and compares shares with
 * targets.
 */
final class ShareAllocator {

  /**
   * Weight of waiting requests in the demand, per second: the tokens that requests wait for should
   * arrive within a quarter of a second.
   */
  private static final long WAITING_WEIGHT_PER_SECOND = 4;

  /** Divisor for the excess that a holder may keep, 1/8 of its target, which saves messages. */
  private static final long TOLERATED_EXCESS_DIVISOR = 8;

  /** Divisor for the excess rate that a holder may keep, 1/200 of the total. */
  private static final long TOLERATED_TOTAL_DIVISOR = 200;

  private ShareAllocator() {}

  /**
   * Sets the target rate and burst of every live member.
   *
   * @param account the account of the limit
   * @param members the live incarnations, with true for those that receive slack that is spread
   *     evenly
   * @param scarce whether the total is used up; waiting requests are then ignored, because shares
   *     in transfer refill no tokens
   * @return whether the reported demand, without waiting requests, reaches the total
   */
  static boolean allocate(LimitAccount account, Map<String, Boolean> members, boolean scarce) {
    LimitSpec spec = account.spec();
    List<Holding> holders = new ArrayList<>(members.size());
    long[] demand = new long[members.size()];
    boolean[] receivesSlack = new boolean[members.size()];
    long[] waitingTokens = new long[members.size()];
    boolean slots = spec.kind() == LimitKind.SLOTS;
    double totalDemand = 0;
    int i = 0;
    for (Map.Entry<String, Boolean> member : members.entrySet()) {
      Holding holding = account.holding(member.getKey());
      holders.add(holding);
      waitingTokens[i] = scarce ? 0 : holding.waitingTokens;
      demand[i] = holding.demand + waitingTokens[i] * (slots ? 1 : WAITING_WEIGHT_PER_SECOND);
      receivesSlack[i] = member.getValue();
      totalDemand += holding.demand;
      i++;
    }
    long total = slots ? spec.burst() : spec.rate();
    long[] rates = Allocation.byDemand(total, demand, receivesSlack);
    long[] bursts = bursts(spec, waitingTokens, rates);
    if (!slots) {
      rates = withoutUnusableRates(total, demand, receivesSlack, bursts, rates);
    }
    for (int h = 0; h < holders.size(); h++) {
      holders.get(h).targetRate = slots ? 0 : rates[h];
      holders.get(h).targetBurst = bursts[h];
    }
    return totalDemand >= total;
  }

  /**
   * Allocates the burst: first the tokens that requests wait for, so that these get whole tokens
   * however small the holder's demand is, then the rest by rate.
   */
  private static long[] bursts(LimitSpec spec, long[] waitingTokens, long[] rates) {
    long quantum = spec.quantum();
    long[] waitingBursts = new long[waitingTokens.length];
    long sum = 0;
    for (int h = 0; h < waitingTokens.length; h++) {
      waitingBursts[h] = (waitingTokens[h] + quantum - 1) / quantum * quantum;
      sum += waitingBursts[h];
    }
    if (sum > spec.burst()) {
      return Allocation.inQuanta(spec.burst(), waitingBursts, quantum);
    }
    long[] bursts = Allocation.inQuanta(spec.burst() - sum, rates, quantum);
    for (int h = 0; h < waitingTokens.length; h++) {
      bursts[h] += waitingBursts[h];
    }
    return bursts;
  }

  /**
   * Reallocates the rate of holders without a burst to the others, because a bucket without a burst
   * discards refilled tokens.
   */
  private static long[] withoutUnusableRates(
      long total, long[] demand, boolean[] receivesSlack, long[] bursts, long[] rates) {
    boolean allUsable = true;
    long[] usableDemand = demand.clone();
    boolean[] slackReceivers = receivesSlack.clone();
    for (int h = 0; h < bursts.length; h++) {
      if (bursts[h] == 0) {
        allUsable &= rates[h] == 0;
        usableDemand[h] = 0;
        slackReceivers[h] = false;
      }
    }
    return allUsable ? rates : Allocation.byDemand(total, usableDemand, slackReceivers);
  }

  /**
   * Returns whether a holder should return a portion of its share. The tolerance is smaller while
   * requests wait at some host, and zero while the account is in debt.
   */
  static boolean hasExcess(LimitAccount account, Holding holding, boolean waiting) {
    long rate = holding.rate - holding.targetRate;
    long burst = holding.burst - holding.targetBurst;
    if (account.inDebt()) {
      return rate > 0 || burst > 0;
    }
    if (waiting) {
      return burst >= account.spec().quantum() || rate > toleratedRate(account, holding);
    }
    return rate > toleratedRate(account, holding) || burst >= toleratedBurst(account, holding);
  }

  /** Returns whether a holder is below its target by more than the tolerance. */
  static boolean isShort(LimitAccount account, Holding holding) {
    long rate = holding.targetRate - holding.rate;
    long burst = holding.targetBurst - holding.burst;
    return rate > toleratedRate(account, holding) || burst >= toleratedBurst(account, holding);
  }

  private static long toleratedRate(LimitAccount account, Holding holding) {
    return Math.max(
        holding.targetRate / TOLERATED_EXCESS_DIVISOR,
        account.spec().rate() / TOLERATED_TOTAL_DIVISOR);
  }

  private static long toleratedBurst(LimitAccount account, Holding holding) {
    return Math.max(holding.targetBurst / TOLERATED_EXCESS_DIVISOR, account.spec().quantum());
  }
}
