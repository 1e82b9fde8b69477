package verbenahatch.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import verbenahatch.limits.HomeAccount.Holding;

/** Sets the target of each holder of one limit from its demand. */
final class HomeDivision {

  /**
   * Weight of waiting requests in the demand, per second. Tokens that requests wait for should be
   * there within a quarter of a second.
   */
  private static final long WANTED_WEIGHT = 4;

  /** Excess that is left where it is, as a fraction (1/8) of the target, to spare messages. */
  private static final long TOLERATED_EXCESS = 8;

  /** Excess of rate that is left where it is, as a fraction (1/200) of the total. */
  private static final long TOLERATED_OF_TOTAL = 200;

  private HomeDivision() {}

  /**
   * Sets the targets.
   *
   * @param account the books of the limit
   * @param members live incarnations, with true for those that take part in the even spread
   * @param scarce whether the total is used up; waiting requests then move nothing, because shares
   *     on their way earn no tokens
   * @return true if the demand reaches the total
   */
  static boolean divide(HomeAccount account, Map<String, Boolean> members, boolean scarce) {
    LimitSpec spec = account.spec();
    List<Holding> holders = new ArrayList<>(members.size());
    long[] demand = new long[members.size()];
    boolean[] slack = new boolean[members.size()];
    long[] wanted = new long[members.size()];
    boolean slots = spec.kind() == LimitKind.SLOTS;
    double sum = 0;
    int i = 0;
    for (Map.Entry<String, Boolean> member : members.entrySet()) {
      Holding holding = account.holding(member.getKey());
      holders.add(holding);
      wanted[i] = scarce ? 0 : holding.wanted;
      demand[i] = holding.demand + wanted[i] * (slots ? 1 : WANTED_WEIGHT);
      slack[i] = member.getValue();
      sum += holding.demand;
      i++;
    }
    long total = slots ? spec.burst() : spec.rate();
    long[] rates = Division.byDemand(total, demand, slack);
    long[] bursts = bursts(spec, wanted, rates);
    if (!slots) {
      rates = withBurst(total, demand, slack, bursts, rates);
    }
    for (int h = 0; h < holders.size(); h++) {
      holders.get(h).targetRate = slots ? 0 : rates[h];
      holders.get(h).targetBurst = bursts[h];
    }
    return sum >= total;
  }

  /**
   * Divides the burst: first what requests wait for, so that whole tokens move to them however
   * small the holder's demand is, then the rest by rate.
   */
  private static long[] bursts(LimitSpec spec, long[] wanted, long[] rates) {
    long quantum = spec.quantum();
    long[] first = new long[wanted.length];
    long sum = 0;
    for (int h = 0; h < wanted.length; h++) {
      first[h] = (wanted[h] + quantum - 1) / quantum * quantum;
      sum += first[h];
    }
    if (sum > spec.burst()) {
      return Division.inQuanta(spec.burst(), first, quantum);
    }
    long[] bursts = Division.inQuanta(spec.burst() - sum, rates, quantum);
    for (int h = 0; h < wanted.length; h++) {
      bursts[h] += first[h];
    }
    return bursts;
  }

  /** Moves the rate of holders without a burst, where it would be lost, to the others. */
  private static long[] withBurst(
      long total, long[] demand, boolean[] slack, long[] bursts, long[] rates) {
    boolean all = true;
    long[] usable = demand.clone();
    boolean[] takes = slack.clone();
    for (int h = 0; h < bursts.length; h++) {
      if (bursts[h] == 0) {
        all &= rates[h] == 0;
        usable[h] = 0;
        takes[h] = false;
      }
    }
    return all ? rates : Division.byDemand(total, usable, takes);
  }

  /**
   * Tells whether a holder should return a part of its share; the tolerance is smaller while
   * requests wait somewhere.
   */
  static boolean hasExcess(HomeAccount account, Holding holding, boolean waiting) {
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

  /** Tells whether a holder is notably short of its target. */
  static boolean isShort(HomeAccount account, Holding holding) {
    long rate = holding.targetRate - holding.rate;
    long burst = holding.targetBurst - holding.burst;
    return rate > toleratedRate(account, holding) || burst >= toleratedBurst(account, holding);
  }

  private static long toleratedRate(HomeAccount account, Holding holding) {
    return Math.max(
        holding.targetRate / TOLERATED_EXCESS, account.spec().rate() / TOLERATED_OF_TOTAL);
  }

  private static long toleratedBurst(HomeAccount account, Holding holding) {
    return Math.max(holding.targetBurst / TOLERATED_EXCESS, account.spec().quantum());
  }
}
