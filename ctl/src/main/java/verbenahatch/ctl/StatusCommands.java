package verbenahatch.ctl;

import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParentCommand;

/** Commands that show the state of one host. */
final class StatusCommands {

  private StatusCommands() {}

  private abstract static class HostCommand implements Callable<Integer> {

    @ParentCommand private @Nullable CtlMain main;

    CtlMain main() {
      if (main == null) {
        throw new IllegalStateException("not started through the command line");
      }
      return main;
    }
  }

  /** Shows the readiness, the members and the generations in force of a host. */
  @Command(
      name = "status",
      description = "Shows a host's readiness, its members and the generations in force.")
  static final class Status extends HostCommand {
    @Override
    public Integer call() {
      return main().sendAndPrint(ApiRequest.of("GET", "v1", "status"));
    }
  }

  /** Prints the state dump of a host. */
  @Command(name = "state", description = "Prints the state dump of a host.")
  static final class State extends HostCommand {
    @Override
    public Integer call() {
      return main().sendAndPrint(ApiRequest.of("GET", "state"));
    }
  }

  /** Prints the metrics of a host. */
  @Command(name = "metrics", description = "Prints a host's metrics in the Prometheus text format.")
  static final class Metrics extends HostCommand {
    @Override
    public Integer call() {
      return main().sendAndPrintWithoutCredential(ApiRequest.of("GET", "metrics"));
    }
  }

  /** Shows whether a host is ready. */
  @Command(
      name = "ready",
      description = "Shows whether a host is ready for callers; exit code 1 if it is not.")
  static final class Ready extends HostCommand {
    @Override
    public Integer call() {
      return main().sendAndPrintWithoutCredential(ApiRequest.of("GET", "readyz"));
    }
  }
}
