package verbenahatch.measure;

import java.util.Random;

/**
 * Draws the outcomes of both versions of a service.
 *
 * <p>Both versions share the noise: a base rate of failures, latencies with a long tail, and
 * episodes in which a common dependency fails. The new version is somewhat slower while its caches
 * are cold. A fault, if there is one, touches only the new version.
 */
final class VersionModel {

  /** Kinds of versions. */
  enum Kind {
    GOOD,
    AT_ONCE,
    LATER,
    UNDER_LOAD,
    ONE_ROUTE
  }

  /** One outcome. */
  record Outcome(boolean failed, double millis, boolean harmed) {}

  /** Spread of the logarithm of the latency: the 95th percentile is 2.3 times the median. */
  private static final double SIGMA = 0.5;

  /** The 95th percentile of the standard normal distribution. */
  private static final double Z95 = 1.645;

  private static final double COLD_FACTOR = 1.25;
  private static final double COLD_SECONDS = 20;
  private static final int EPISODES = 3;
  private static final double EPISODE_FAILURES = 0.2;

  /** Share of the service's rate above which a fault under load shows. */
  private static final double LOAD_SHARE = 0.2;

  private final ReleaseScenario scenario;
  private final Kind kind;
  private final Random random;
  private final double baseFailures;
  private final double faultFailures;
  private final double faultSlowdown;
  private final double faultFrom;
  private final int faultRoute;
  private final double[] episodeStarts = new double[EPISODES];
  private final double[] episodeEnds = new double[EPISODES];

  VersionModel(ReleaseScenario scenario, Kind kind, double seconds, Random random) {
    this.scenario = scenario;
    this.kind = kind;
    this.random = random;
    this.baseFailures = 0.001 + 0.009 * random.nextDouble();
    boolean slow = random.nextInt(3) == 0;
    this.faultFailures = slow ? 0 : 0.10 + 0.5 * random.nextDouble();
    this.faultSlowdown = slow ? 3 + 3 * random.nextDouble() : 1;
    this.faultFrom = kind == Kind.LATER ? seconds * (0.1 + 0.7 * random.nextDouble()) : 0;
    this.faultRoute = random.nextInt(scenario.routes().size());
    for (int i = 0; i < EPISODES; i++) {
      episodeStarts[i] = seconds * random.nextDouble();
      episodeEnds[i] = episodeStarts[i] + 5 + 15 * random.nextDouble();
    }
  }

  int drawRoute() {
    double draw = random.nextDouble();
    for (int i = 0; i < scenario.routes().size() - 1; i++) {
      draw -= scenario.routes().get(i);
      if (draw < 0) {
        return i;
      }
    }
    return scenario.routes().size() - 1;
  }

  /** Latency in milliseconds above which the measurement itself calls a request slow. */
  double slowMillis() {
    return 1.5 * scenario.medianMillis() * Math.exp(SIGMA * Z95);
  }

  boolean hasFault(double second, int route, double newShare) {
    return switch (kind) {
      case GOOD -> false;
      case AT_ONCE -> true;
      case LATER -> second >= faultFrom;
      case UNDER_LOAD -> newShare >= LOAD_SHARE;
      case ONE_ROUTE -> route == faultRoute;
    };
  }

  Outcome draw(boolean isNew, double second, int route, double newShare, double sinceStart) {
    double millis = scenario.medianMillis() * Math.exp(SIGMA * random.nextGaussian());
    boolean failed = random.nextDouble() < failures(second);
    if (isNew && sinceStart < COLD_SECONDS) {
      millis *= COLD_FACTOR;
    }
    if (!isNew || !hasFault(second, route, newShare)) {
      return new Outcome(failed, millis, false);
    }
    boolean faulty = random.nextDouble() < faultFailures;
    boolean harmed = faulty || faultSlowdown > 1;
    return new Outcome(failed || faulty, millis * faultSlowdown, harmed);
  }

  private double failures(double second) {
    for (int i = 0; i < EPISODES; i++) {
      if (second >= episodeStarts[i] && second < episodeEnds[i]) {
        return EPISODE_FAILURES;
      }
    }
    return baseFailures;
  }
}
