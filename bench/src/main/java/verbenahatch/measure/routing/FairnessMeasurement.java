package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.measure.routing.Simulation.Plan;
import verbenahatch.measure.routing.Simulation.Policy;
import verbenahatch.measure.routing.Simulation.Tally;

/**
 * Simulates one workspace at five times its rate and measures the worst-served of the others.
 *
 * <p>Eight workspaces use 80% of the capacity together. One run enforces the bought rates; another
 * does not, so that only the fair queue protects the other workspaces.
 */
public final class FairnessMeasurement implements Measurement {

  private static final int WORKSPACES = 8;
  private static final int NOISY_FACTOR = 5;
  private static final double LOAD = 0.8;
  private static final double MARGIN = 0.1;
  private static final String NOISY = "w0";

  @Override
  public String name() {
    return "fairness";
  }

  private record WorstServed(double success, double p99Millis) {}

  @Override
  public List<Figure> run(long seed) {
    WorstServed withoutNoise = worstServed(seed, 1, true);
    WorstServed limited = worstServed(seed, NOISY_FACTOR, true);
    WorstServed queueOnly = worstServed(seed, NOISY_FACTOR, false);
    List<Figure> figures = new ArrayList<>();
    figures.add(Figure.info("worst-success-without-noise", withoutNoise.success(), "part"));
    figures.add(Figure.info("worst-p99-without-noise", withoutNoise.p99Millis(), "ms"));
    figures.add(
        Figure.atLeast(
            "worst-success-with-noise",
            limited.success(),
            "part",
            withoutNoise.success() * (1 - MARGIN)));
    figures.add(
        Figure.atMost(
            "worst-p99-with-noise",
            limited.p99Millis(),
            "ms",
            withoutNoise.p99Millis() * (1 + MARGIN)));
    figures.add(Figure.info("worst-success-queue-only", queueOnly.success(), "part"));
    figures.add(Figure.info("worst-p99-queue-only", queueOnly.p99Millis(), "ms"));
    return figures;
  }

  private static WorstServed worstServed(long seed, int noisyFactor, boolean limited) {
    Plan noLoad = new Plan(Policy.SYSTEM, 9, 16, 3, 10, 0, 1_000, Map.of(), Map.of(), 60);
    double rate = noLoad.capacity() * LOAD / WORKSPACES;
    Map<String, Double> rates = new HashMap<>();
    Map<String, Double> limits = new HashMap<>();
    for (int i = 0; i < WORKSPACES; i++) {
      rates.put("w" + i, rate);
      // Bought rates leave headroom for the usual variation of a workspace's own traffic.
      limits.put("w" + i, rate * (1 + MARGIN));
    }
    rates.put(NOISY, rate * noisyFactor);
    Plan plan =
        new Plan(Policy.SYSTEM, 9, 16, 3, 10, 0, 1_000, rates, limited ? limits : Map.of(), 60);
    Map<String, Tally> tallies = new Simulation(plan, new SplittableRandom(seed)).run();
    double success = 1;
    double p99 = 0;
    for (Map.Entry<String, Tally> entry : tallies.entrySet()) {
      if (!entry.getKey().equals(NOISY)) {
        success = Math.min(success, entry.getValue().success());
        p99 = Math.max(p99, entry.getValue().p99Millis());
      }
    }
    return new WorstServed(success, p99);
  }
}
