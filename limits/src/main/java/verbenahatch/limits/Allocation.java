package verbenahatch.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Allocates totals among holders. The shares never add up to more than the total. */
final class Allocation {

  /**
   * Fraction of the slack that is spread evenly. A host that had no callers can then admit requests
   * at once, also while there is no coordinator and the store is down.
   */
  private static final double EVEN_SLACK_FRACTION = 0.5;

  private Allocation() {}

  /**
   * Allocates by demand. If the demand exceeds the total, every holder gets the same fraction of
   * its demand. Otherwise each demand is met and the slack is spread, half evenly and half by
   * demand.
   *
   * @param total the total to allocate; a negative total counts as 0
   * @param demand the demand of each holder, not negative
   * @param receivesSlack whether each holder receives slack that is spread evenly
   * @return the share of each holder
   */
  static long[] byDemand(long total, long[] demand, boolean[] receivesSlack) {
    long[] shares = new long[demand.length];
    double sum = 0;
    int evenHolders = 0;
    for (int i = 0; i < demand.length; i++) {
      sum += demand[i];
      evenHolders += receivesSlack[i] ? 1 : 0;
    }
    double slack = Math.max(0, total - sum);
    double evenShare =
        evenHolders == 0 ? 0 : slack * (sum == 0 ? 1 : EVEN_SLACK_FRACTION) / evenHolders;
    double demandFactor =
        sum == 0 ? 0 : sum >= total ? total / sum : 1 + slack * (1 - EVEN_SLACK_FRACTION) / sum;
    long remaining = Math.max(0, total);
    for (int i = 0; i < demand.length; i++) {
      double share = demand[i] * demandFactor + (receivesSlack[i] ? evenShare : 0);
      shares[i] = Math.min(remaining, (long) Math.floor(Math.max(0, share)));
      remaining -= shares[i];
    }
    return shares;
  }

  /**
   * Allocates whole quanta by weight, with the largest remainders rounded up. A rest smaller than a
   * quantum goes to the holder with the largest weight. Without a positive weight nothing is
   * allocated.
   *
   * @param total the total to allocate; a negative total counts as 0
   * @param weights the weight of each holder, not negative
   * @param quantum the unit of allocation, positive
   * @return the share of each holder
   */
  static long[] inQuanta(long total, long[] weights, long quantum) {
    long[] shares = new long[weights.length];
    double sum = 0;
    for (long weight : weights) {
      sum += weight;
    }
    if (sum == 0 || total <= 0) {
      return shares;
    }
    long quanta = total / quantum;
    long remaining = quanta;
    double[] remainders = new double[weights.length];
    List<Integer> order = new ArrayList<>(weights.length);
    for (int i = 0; i < weights.length; i++) {
      double exact = quanta * (weights[i] / sum);
      long wholeQuanta = Math.min(remaining, (long) Math.floor(exact));
      shares[i] = wholeQuanta * quantum;
      remaining -= wholeQuanta;
      remainders[i] = weights[i] == 0 ? -1 : exact - wholeQuanta;
      order.add(i);
    }
    order.sort(Comparator.comparingDouble(i -> -remainders[i]));
    for (int i = 0; remaining > 0; i = (i + 1) % order.size()) {
      if (weights[order.get(i)] > 0) {
        shares[order.get(i)] += quantum;
        remaining--;
      }
    }
    int largest = 0;
    for (int i = 1; i < weights.length; i++) {
      largest = weights[i] > weights[largest] ? i : largest;
    }
    shares[largest] += total % quantum;
    return shares;
  }
}
