package verbenahatch.ctl;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import verbenahatch.ctl.explain.Explanation;

/** Explains a request from the hosts' log files, without contacting a host. */
@Command(
    name = "explain",
    description =
        "Explains the outcome of a request from the logs of hosts on the users' platform.")
final class ExplainCommand implements Callable<Integer> {

  @Spec private CommandSpec spec = CommandSpec.create();

  @Parameters(paramLabel = "ID", description = "Id of the request.")
  private String id = "";

  @Option(
      names = "--log",
      required = true,
      arity = "1..*",
      paramLabel = "FILE",
      description =
          "Log of a host; the file name without its extension is the host's name. One file may"
              + " contain lines of several hosts if each begins with the host's name.")
  private List<Path> files = List.of();

  @Override
  public Integer call() {
    Explanation explanation = new Explanation(id);
    for (Path file : files) {
      try {
        explanation.read(hostName(file), Files.readAllLines(file, StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        throw new CommandLine.ParameterException(
            spec.commandLine(), "cannot read " + file + ": " + e.getMessage(), e);
      }
    }
    explanation.describe().forEach(spec.commandLine().getOut()::println);
    return explanation.isFound() ? CommandLine.ExitCode.OK : CtlMain.EXIT_REFUSED;
  }

  private static String hostName(Path file) {
    Path fileName = file.getFileName();
    String name = fileName == null ? "" : fileName.toString();
    int dot = name.lastIndexOf('.');
    return dot > 0 ? name.substring(0, dot) : name;
  }
}
