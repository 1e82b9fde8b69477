package verbenahatch.measure;

import java.util.Random;

/**
 * Draws the outcomes of both versions of a service.
 *
 * <p>Both versions have the same noise: a base rate of failures, latencies with a long tail, and
 * episodes in which a common dependency fails. The new version is somewhat slower while its caches
 * are cold. A fault, if there is one, affects only the new version.
 */
final class VersionModel {

  /** Kinds of versions: without a fault, or by the condition under which the fault occurs. */
  enum Kind {
    GOOD,
    AT_ONCE,
    LATER,
    UNDER_LOAD,
    ONE_ROUTE
  }

  /** Outcome of one request; harmed says whether the fault affected it. */
  record Outcome(boolean failed, double millis, boolean harmed) {}

  /**
   * Standard deviation of the logarithm of the latency: the 95th percentile is 2.3 times the
   * median.
   */
  private static final double LATENCY_SIGMA = 0.5;

  /** The 95th percentile of the standard normal distribution. */
  private static final double Z95 = 1.645;

  private static final double COLD_LATENCY_FACTOR = 1.25;
  private static final double COLD_SECONDS = 20;
  private static final int EPISODES = 3;
  private static final double EPISODE_FAILURE_PROBABILITY = 0.2;

  /** Fraction of the service's requests at which a fault under load starts to occur. */
  private static final double LOAD_FRACTION = 0.2;

  private final ReleaseScenario scenario;
  private final Kind kind;
  private final Random random;
  private final double baseFailureProbability;
  private final double faultFailureProbability;
  private final double faultLatencyFactor;
  private final double faultStartSecond;
  private final int faultRoute;
  private final double[] episodeStarts = new double[EPISODES];
  private final double[] episodeEnds = new double[EPISODES];

  VersionModel(ReleaseScenario scenario, Kind kind, double windowSeconds, Random random) {
    this.scenario = scenario;
    this.kind = kind;
    this.random = random;
    this.baseFailureProbability = 0.001 + 0.009 * random.nextDouble();
    boolean slow = random.nextInt(3) == 0;
    this.faultFailureProbability = slow ? 0 : 0.10 + 0.5 * random.nextDouble();
    this.faultLatencyFactor = slow ? 3 + 3 * random.nextDouble() : 1;
    this.faultStartSecond =
        kind == Kind.LATER ? windowSeconds * (0.1 + 0.7 * random.nextDouble()) : 0;
    this.faultRoute = random.nextInt(scenario.routeFractions().size());
    for (int i = 0; i < EPISODES; i++) {
      episodeStarts[i] = windowSeconds * random.nextDouble();
      episodeEnds[i] = episodeStarts[i] + 5 + 15 * random.nextDouble();
    }
  }

  int drawRoute() {
    double draw = random.nextDouble();
    for (int i = 0; i < scenario.routeFractions().size() - 1; i++) {
      draw -= scenario.routeFractions().get(i);
      if (draw < 0) {
        return i;
      }
    }
    return scenario.routeFractions().size() - 1;
  }

  /** Returns the latency in milliseconds above which the measurement counts a request as slow. */
  double slowMillis() {
    return 1.5 * scenario.medianMillis() * Math.exp(LATENCY_SIGMA * Z95);
  }

  boolean hasFault(double second, int route, double newFraction) {
    return switch (kind) {
      case GOOD -> false;
      case AT_ONCE -> true;
      case LATER -> second >= faultStartSecond;
      case UNDER_LOAD -> newFraction >= LOAD_FRACTION;
      case ONE_ROUTE -> route == faultRoute;
    };
  }

  Outcome drawOutcome(
      boolean isNew, double second, int route, double newFraction, double secondsSinceStart) {
    double millis = scenario.medianMillis() * Math.exp(LATENCY_SIGMA * random.nextGaussian());
    boolean failed = random.nextDouble() < failureProbability(second);
    if (isNew && secondsSinceStart < COLD_SECONDS) {
      millis *= COLD_LATENCY_FACTOR;
    }
    if (!isNew || !hasFault(second, route, newFraction)) {
      return new Outcome(failed, millis, false);
    }
    boolean faulty = random.nextDouble() < faultFailureProbability;
    boolean harmed = faulty || faultLatencyFactor > 1;
    return new Outcome(failed || faulty, millis * faultLatencyFactor, harmed);
  }

  private double failureProbability(double second) {
    for (int i = 0; i < EPISODES; i++) {
      if (second >= episodeStarts[i] && second < episodeEnds[i]) {
        return EPISODE_FAILURE_PROBABILITY;
      }
    }
    return baseFailureProbability;
  }
}
