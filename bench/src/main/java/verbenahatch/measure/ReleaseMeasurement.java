package verbenahatch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures releases of faulty and healthy versions with synthetic outcomes in virtual time.
 *
 * <p>The production classes make the decisions. The network, the publication of facts, the store,
 * the versions and their callers are simulated, so the figures don't cover processes under load.
 */
public final class ReleaseMeasurement implements Measurement {

  /** Versions of each faulty kind; four kinds give 24 faulty versions for each customer. */
  private static final int VERSIONS_PER_KIND = 6;

  private static final int GOOD_VERSIONS = 24;

  /** Promise 7 of the design, from the detection of a fault to the last request. */
  private static final double MAX_DETECTED_TO_HALT_SECONDS = 2;

  /** Creates the measurement. */
  public ReleaseMeasurement() {}

  @Override
  public String name() {
    return "releases";
  }

  @Override
  public List<Figure> run(long seed) {
    List<Figure> figures = new ArrayList<>();
    add(figures, "ndiaye", ReleaseScenario.ndiaye(), seed);
    add(figures, "cotopaxi", ReleaseScenario.cotopaxi(), seed + 1000);
    return figures;
  }

  private static void add(
      List<Figure> figures, String customer, List<ReleaseScenario> services, long seed) {
    String prefix = "releases-" + customer + "-";
    double worstHarmedFraction = 0;
    double worstDetectedToHaltSeconds = 0;
    int rolledBack = 0;
    int faultyVersions = 0;
    for (VersionModel.Kind kind : VersionModel.Kind.values()) {
      for (int i = 0; kind != VersionModel.Kind.GOOD && i < VERSIONS_PER_KIND; i++) {
        long trialSeed = seed + 100L * kind.ordinal() + i;
        ReleaseTrial.Outcome outcome =
            new ReleaseTrial(services.get(i % services.size()), kind, trialSeed).run();
        String name = prefix + kindName(kind) + "-" + (i + 1);
        figures.add(Figure.info(name + "-harmed", outcome.harmedFraction() * 100, "percent"));
        figures.add(
            Figure.info(
                name + "-fault-to-halt",
                outcome.lastNewSecond() - outcome.firstFaultSecond(),
                "s"));
        worstHarmedFraction = Math.max(worstHarmedFraction, outcome.harmedFraction());
        worstDetectedToHaltSeconds =
            Math.max(
                worstDetectedToHaltSeconds, outcome.lastNewSecond() - outcome.detectedSecond());
        rolledBack += outcome.rolledBack() ? 1 : 0;
        faultyVersions++;
      }
    }
    figures.add(Figure.atLeast(prefix + "bad-rolled-back", rolledBack, "versions", faultyVersions));
    figures.add(Figure.info(prefix + "largest-harmed", worstHarmedFraction * 100, "percent"));
    figures.add(
        Figure.atMost(
            prefix + "longest-shown-to-halt",
            worstDetectedToHaltSeconds,
            "s",
            MAX_DETECTED_TO_HALT_SECONDS));
    addGood(figures, prefix, services, seed);
  }

  private static String kindName(VersionModel.Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void addGood(
      List<Figure> figures, String prefix, List<ReleaseScenario> services, long seed) {
    int completed = 0;
    int rolledBack = 0;
    for (int i = 0; i < GOOD_VERSIONS; i++) {
      ReleaseTrial.Outcome outcome =
          new ReleaseTrial(services.get(i % services.size()), VersionModel.Kind.GOOD, seed + i)
              .run();
      completed += outcome.completed() ? 1 : 0;
      rolledBack += outcome.rolledBack() ? 1 : 0;
    }
    figures.add(Figure.atLeast(prefix + "good-done-on-time", completed, "versions", GOOD_VERSIONS));
    figures.add(Figure.atMost(prefix + "good-rolled-back", rolledBack, "versions", 0));
  }
}
