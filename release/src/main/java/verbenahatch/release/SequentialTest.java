package verbenahatch.release;

import java.util.Optional;

/**
 * Compares the new version with the old one on one route, at every step, with a bounded rate of
 * false alarms. Not thread-safe.
 *
 * <p>Requests are assigned to a version by chance. If both versions are equally good, each bad
 * outcome of a step therefore belongs to the new version with the probability p = (its requests) /
 * (all requests), whatever the load, the time of day or a dependency does to both. For x bad
 * outcomes of the new version among K, the likelihood ratio against odds that are {@code theta}
 * times higher is {@code theta^x / (1 - p + theta p)^K}. Drawing without replacement is dominated
 * by the binomial distribution (Hoeffding), so its expected value is at most 1 without any
 * approximation for small counts. The product over steps, restarted whenever it falls below 1, is
 * compared with {@code exp(ALARM)}. By Doob's inequality the probability of a false alarm within n
 * steps is at most {@code n exp(-ALARM)} for each of the four ratios.
 *
 * <p>The null hypothesis allows the new version a somewhat higher share of bad outcomes, because a
 * new version with cold caches is rightly a little slower.
 */
public final class SequentialTest {

  /**
   * Logarithm of the threshold 10^8. A route tested twice a second for 8 hours takes 57,600 steps,
   * so a false alarm has at most the probability 57,600 x 4 / 10^8 = 0.23%.
   */
  private static final double ALARM = Math.log(1e8);

  /** Ratios of odds tested for: a moderate fault, and one that nearly always hits. */
  private static final double[] THETAS = {3, 16};

  private static final double TOLERATED_FAILURE_ODDS = 1.5;
  private static final double TOLERATED_SLOW_ODDS = 2;

  private final double[] failures = new double[THETAS.length];
  private final double[] slow = new double[THETAS.length];

  /** Creates a test without evidence. */
  public SequentialTest() {}

  /**
   * Adds the outcomes of one step.
   *
   * @param step what was counted since the last step
   * @return what is worse about the new version once that is significant, otherwise empty
   */
  public Optional<String> add(RouteCounts step) {
    boolean failing =
        add(failures, step, step.newFailures(), step.oldFailures(), TOLERATED_FAILURE_ODDS);
    boolean slower = add(slow, step, step.newSlow(), step.oldSlow(), TOLERATED_SLOW_ODDS);
    if (failing) {
      return Optional.of("fails more often than the old version");
    }
    return slower ? Optional.of("is slower than the old version") : Optional.empty();
  }

  private static boolean add(
      double[] sums, RouteCounts step, long newCounted, long oldBad, double tolerated) {
    // Concurrent recording can move the total of an outcome into the previous step.
    long newBad = Math.min(newCounted, step.newRequests());
    long total = step.newRequests() + step.oldRequests();
    if (total == 0) {
      return false;
    }
    double odds = tolerated * step.newRequests();
    double share = odds / (odds + step.oldRequests());
    boolean alarm = false;
    for (int i = 0; i < THETAS.length; i++) {
      double theta = THETAS[i];
      double gain = newBad * Math.log(theta) - (newBad + oldBad) * Math.log1p((theta - 1) * share);
      sums[i] = Math.max(0, sums[i]) + gain;
      alarm |= sums[i] >= ALARM;
    }
    return alarm;
  }
}
