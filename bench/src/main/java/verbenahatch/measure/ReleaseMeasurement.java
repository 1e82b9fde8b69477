package verbenahatch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Measures releases of faulty and healthy versions with synthetic outcomes in virtual time.
 *
 * <p>The production classes decide. The network, the spread of facts, the store, the versions and
 * their callers are models, so the figures say nothing about processes under load.
 */
public final class ReleaseMeasurement implements Measurement {

  /** Versions of each faulty kind; four kinds make 24 faulty versions a customer. */
  private static final int PER_KIND = 6;

  private static final int GOOD = 24;

  /** Promise 7 of the design. */
  private static final double MAX_SECONDS_AFTER_SHOWN = 2;

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
    double worstHarm = 0;
    double worstAfterShown = 0;
    int reversed = 0;
    int bad = 0;
    for (VersionModel.Kind kind : VersionModel.Kind.values()) {
      for (int i = 0; kind != VersionModel.Kind.GOOD && i < PER_KIND; i++) {
        long trialSeed = seed + 100L * kind.ordinal() + i;
        ReleaseTrial.Outcome outcome =
            new ReleaseTrial(services.get(i % services.size()), kind, trialSeed).run();
        String name = prefix + kindName(kind) + "-" + (i + 1);
        figures.add(Figure.info(name + "-harmed", outcome.harmedShare() * 100, "percent"));
        figures.add(
            Figure.info(
                name + "-fault-to-halt", outcome.lastNewSecond() - outcome.faultSecond(), "s"));
        worstHarm = Math.max(worstHarm, outcome.harmedShare());
        worstAfterShown =
            Math.max(worstAfterShown, outcome.lastNewSecond() - outcome.shownSecond());
        reversed += outcome.reversed() ? 1 : 0;
        bad++;
      }
    }
    figures.add(Figure.atLeast(prefix + "bad-rolled-back", reversed, "versions", bad));
    figures.add(Figure.info(prefix + "largest-harmed", worstHarm * 100, "percent"));
    figures.add(
        Figure.atMost(
            prefix + "longest-shown-to-halt", worstAfterShown, "s", MAX_SECONDS_AFTER_SHOWN));
    addGood(figures, prefix, services, seed);
  }

  private static String kindName(VersionModel.Kind kind) {
    return kind.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static void addGood(
      List<Figure> figures, String prefix, List<ReleaseScenario> services, long seed) {
    int done = 0;
    int reversed = 0;
    for (int i = 0; i < GOOD; i++) {
      ReleaseTrial.Outcome outcome =
          new ReleaseTrial(services.get(i % services.size()), VersionModel.Kind.GOOD, seed + i)
              .run();
      done += outcome.done() ? 1 : 0;
      reversed += outcome.reversed() ? 1 : 0;
    }
    figures.add(Figure.atLeast(prefix + "good-done-on-time", done, "versions", GOOD));
    figures.add(Figure.atMost(prefix + "good-rolled-back", reversed, "versions", 0));
  }
}
