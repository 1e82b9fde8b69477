package verbenahatch.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs the measurements of the project and prints one line for each figure. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description = "Runs measurements against the project's own baselines.")
public final class MeasureMain implements Callable<Integer> {

  private static final int EXIT_UNKNOWN_NAME = 2;

  @Option(names = "--list", description = "Lists the names of the measurements.")
  private boolean list;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of all random choices (default: ${DEFAULT-VALUE}).")
  private long seed;

  @Parameters(
      arity = "0..*",
      paramLabel = "NAME",
      description = "Names of the measurements to run; all if none is given.")
  private List<String> names = new ArrayList<>();

  private MeasureMain() {}

  /**
   * Runs the command and exits with code 0 if every measurement ran, even if a figure missed its
   * target, and with 2 if a name is unknown.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new MeasureMain()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    List<Measurement> all = new ArrayList<>();
    ServiceLoader.load(Measurement.class).forEach(all::add);
    all.sort(Comparator.comparing(Measurement::name));
    if (list) {
      all.forEach(measurement -> System.out.println(measurement.name()));
      return 0;
    }
    for (String name : names) {
      if (all.stream().noneMatch(measurement -> measurement.name().equals(name))) {
        System.err.println("measure: no measurement is named " + name + "; see --list");
        return EXIT_UNKNOWN_NAME;
      }
    }
    for (Measurement measurement : all) {
      if (names.isEmpty() || names.contains(measurement.name())) {
        print(measurement);
      }
    }
    return 0;
  }

  private void print(Measurement measurement) throws Exception {
    for (Figure figure : measurement.run(seed)) {
      System.out.println(figure.line() + " seed " + seed);
    }
  }
}
