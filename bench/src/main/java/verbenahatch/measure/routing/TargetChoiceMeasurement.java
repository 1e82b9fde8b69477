package verbenahatch.measure.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import verbenahatch.measure.Figure;
import verbenahatch.measure.Measurement;
import verbenahatch.measure.routing.Simulation.Plan;
import verbenahatch.measure.routing.Simulation.Policy;
import verbenahatch.measure.routing.Simulation.Tally;

/**
 * Compares the production choice of targets with round robin and random choice, in simulation.
 *
 * <p>Nine hosts send to 16 targets with 3 slots, two of them three times slower, at loads of 70%,
 * 95% and 150% of the capacity of all targets.
 */
public final class TargetChoiceMeasurement implements Measurement {

  private static final int[] LOAD_PERCENTS = {70, 95, 150};
  private static final int SECONDS = 60;

  @Override
  public String name() {
    return "target-choice";
  }

  @Override
  public List<Figure> run(long seed) {
    List<Figure> figures = new ArrayList<>();
    for (int loadPercent : LOAD_PERCENTS) {
      double baselineSuccess = 0;
      double baselineP99 = Double.MAX_VALUE;
      List<Figure> policyFigures = new ArrayList<>();
      for (Policy policy : List.of(Policy.ROUND_ROBIN, Policy.RANDOM, Policy.SYSTEM)) {
        Simulation simulation =
            new Simulation(plan(policy, loadPercent), new SplittableRandom(seed));
        Tally tally = simulation.run().values().iterator().next();
        String prefix =
            "choice-"
                + loadPercent
                + "-"
                + policy.name().toLowerCase(Locale.ROOT).replace('_', '-');
        if (policy == Policy.SYSTEM) {
          policyFigures.add(
              Figure.atLeast(prefix + "-success", tally.success(), "part", baselineSuccess));
          policyFigures.add(
              loadPercent > 100
                  ? Figure.info(prefix + "-p99", tally.p99Millis(), "ms")
                  : Figure.atMost(prefix + "-p99", tally.p99Millis(), "ms", baselineP99));
        } else {
          baselineSuccess = Math.max(baselineSuccess, tally.success());
          baselineP99 = Math.min(baselineP99, tally.p99Millis());
          policyFigures.add(Figure.info(prefix + "-success", tally.success(), "part"));
          policyFigures.add(Figure.info(prefix + "-p99", tally.p99Millis(), "ms"));
        }
        policyFigures.add(Figure.info(prefix + "-sent-to-full", simulation.sentToFull(), "part"));
      }
      figures.addAll(policyFigures);
    }
    return figures;
  }

  private static Plan plan(Policy policy, int loadPercent) {
    Plan noLoad = new Plan(policy, 9, 16, 3, 10, 2, 1_000, Map.of(), Map.of(), SECONDS);
    double rate = noLoad.capacity() * loadPercent / 100;
    return new Plan(policy, 9, 16, 3, 10, 2, 1_000, Map.of("all", rate), Map.of(), SECONDS);
  }
}
