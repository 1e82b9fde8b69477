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

/** Explains a request from the log lines of the hosts; asks no host. */
@Command(
    name = "explain",
    description =
        "Explains what became of a request, from the logs of the hosts on the users' platform.")
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
          "Log of a host; the file's name without its ending names the host. Lines that begin with"
              + " a host's name may stand in one file.")
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
    return explanation.isFound() ? CommandLine.ExitCode.OK : CtlMain.REFUSED;
  }

  private static String hostName(Path file) {
    Path name = file.getFileName();
    String text = name == null ? "" : name.toString();
    int dot = text.lastIndexOf('.');
    return dot > 0 ? text.substring(0, dot) : text;
  }
}
