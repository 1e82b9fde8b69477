package verbenahatch.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Divides totals among holders. The parts never add up to more than the total. */
final class Division {

  /**
   * Part of the slack that is spread evenly. A host that had no callers can then serve some at
   * once, also while the home is lost and the store is down.
   */
  private static final double EVEN_SLACK = 0.5;

  private Division() {}

  /**
   * Divides by demand. Above the total everybody gets the same fraction of its demand; below, each
   * demand is met and the slack is spread, half evenly and half by demand.
   *
   * @param total the total, negative counts as 0
   * @param demand the demand of each holder, not negative
   * @param takesSlack whether a holder takes part in the even spread
   * @return the part of each holder
   */
  static long[] byDemand(long total, long[] demand, boolean[] takesSlack) {
    long[] parts = new long[demand.length];
    double sum = 0;
    int even = 0;
    for (int i = 0; i < demand.length; i++) {
      sum += demand[i];
      even += takesSlack[i] ? 1 : 0;
    }
    double slack = Math.max(0, total - sum);
    double evenPart = even == 0 ? 0 : slack * (sum == 0 ? 1 : EVEN_SLACK) / even;
    double factor = sum == 0 ? 0 : sum >= total ? total / sum : 1 + slack * (1 - EVEN_SLACK) / sum;
    long left = Math.max(0, total);
    for (int i = 0; i < demand.length; i++) {
      double part = demand[i] * factor + (takesSlack[i] ? evenPart : 0);
      parts[i] = Math.min(left, (long) Math.floor(Math.max(0, part)));
      left -= parts[i];
    }
    return parts;
  }

  /**
   * Divides in whole quanta by weight, with the largest remainders rounded up. What is less than a
   * quantum goes to the holder of the largest weight.
   *
   * @param total the total, negative counts as 0
   * @param weights the weight of each holder, not negative
   * @param quantum the smallest part, positive
   * @return the part of each holder
   */
  static long[] inQuanta(long total, long[] weights, long quantum) {
    long[] parts = new long[weights.length];
    double sum = 0;
    for (long weight : weights) {
      sum += weight;
    }
    if (sum == 0 || total <= 0) {
      return parts;
    }
    long quanta = total / quantum;
    long left = quanta;
    double[] remainders = new double[weights.length];
    List<Integer> order = new ArrayList<>(weights.length);
    for (int i = 0; i < weights.length; i++) {
      double exact = quanta * (weights[i] / sum);
      long whole = Math.min(left, (long) Math.floor(exact));
      parts[i] = whole * quantum;
      left -= whole;
      remainders[i] = weights[i] == 0 ? -1 : exact - whole;
      order.add(i);
    }
    order.sort(Comparator.comparingDouble(i -> -remainders[i]));
    for (int i = 0; left > 0; i = (i + 1) % order.size()) {
      if (weights[order.get(i)] > 0) {
        parts[order.get(i)] += quantum;
        left--;
      }
    }
    int largest = 0;
    for (int i = 1; i < weights.length; i++) {
      largest = weights[i] > weights[largest] ? i : largest;
    }
    parts[largest] += total % quantum;
    return parts;
  }
}
