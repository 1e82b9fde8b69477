package verbenahatch.release;

import java.util.Optional;

/**
 * Compares the new version with the old one on one route, at every step, with a bounded rate of
 * false alarms. Not thread-safe.
 *
 * <p>Requests are assigned to a version at random. If both versions are equally good, each bad
 * outcome of a step therefore belongs to the new version with the probability p = (its requests) /
 * (all requests), regardless of how load, time of day or a dependency affects both. For x bad
 * outcomes of the new version among K, the likelihood ratio against odds that are {@code theta}
 * times higher is {@code theta^x / (1 - p + theta p)^K}. Drawing without replacement is dominated
 * by the binomial distribution (Hoeffding), so its expected value is at most 1 without any
 * approximation for small counts. The product over steps, restarted whenever it falls below 1, is
 * compared with {@code exp(LOG_ALARM_THRESHOLD)}. By Doob's inequality the probability of a false
 * alarm within n steps is at most {@code n exp(-LOG_ALARM_THRESHOLD)} for each of the four ratios.
 *
 * <p>The null hypothesis allows the new version a somewhat higher rate of bad outcomes, because a
 * new version with cold caches is expected to be a little slower.
 */
public final class SequentialTest {

  /**
   * Logarithm of the threshold 10^8. A route tested twice a second for 8 hours takes 57,600 steps,
   * so a false alarm has at most the probability 57,600 x 4 / 10^8 = 0.23%.
   */
  private static final double LOG_ALARM_THRESHOLD = Math.log(1e8);

  /** Odds ratios to test for: a moderate fault, and one that affects nearly every request. */
  private static final double[] THETAS = {3, 16};

  private static final double TOLERATED_FAILURE_ODDS = 1.5;
  private static final double TOLERATED_SLOW_ODDS = 2;

  private final double[] failures = new double[THETAS.length];
  private final double[] slow = new double[THETAS.length];

  /** Creates a test that has no evidence yet. */
  public SequentialTest() {}

  /**
   * Adds the outcomes of one step.
   *
   * @param step the counts since the previous step
   * @return in what the new version is worse once the difference is significant, otherwise empty
   */
  public Optional<String> add(RouteCounts step) {
    boolean failsMore =
        add(failures, step, step.newFailures(), step.oldFailures(), TOLERATED_FAILURE_ODDS);
    boolean isSlower = add(slow, step, step.newSlow(), step.oldSlow(), TOLERATED_SLOW_ODDS);
    if (failsMore) {
      return Optional.of("fails more often than the old version");
    }
    return isSlower ? Optional.of("is slower than the old version") : Optional.empty();
  }

  private static boolean add(
      double[] logRatios,
      RouteCounts step,
      long reportedNewBad,
      long oldBad,
      double toleratedOdds) {
    // With concurrent recording, the request of an outcome may have been counted in the previous
    // step.
    long newBad = Math.min(reportedNewBad, step.newRequests());
    long total = step.newRequests() + step.oldRequests();
    if (total == 0) {
      return false;
    }
    double odds = toleratedOdds * step.newRequests();
    double newProbability = odds / (odds + step.oldRequests());
    boolean alarm = false;
    for (int i = 0; i < THETAS.length; i++) {
      double theta = THETAS[i];
      double logRatio =
          newBad * Math.log(theta) - (newBad + oldBad) * Math.log1p((theta - 1) * newProbability);
      logRatios[i] = Math.max(0, logRatios[i]) + logRatio;
      alarm |= logRatios[i] >= LOG_ALARM_THRESHOLD;
    }
    return alarm;
  }
}
