package verbenahatch.ctl;

import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.ParentCommand;

/** Commands that look at one host. */
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

  /** Shows readiness, members and generations in force. */
  @Command(
      name = "status",
      description = "Shows a host's readiness, its members and the generations in force.")
  static final class Status extends HostCommand {
    @Override
    public Integer call() {
      return main().call(ApiCall.of("GET", "v1", "status"));
    }
  }

  /** Dumps the state of a host. */
  @Command(name = "state", description = "Dumps the state of a host.")
  static final class State extends HostCommand {
    @Override
    public Integer call() {
      return main().call(ApiCall.of("GET", "state"));
    }
  }

  /** Shows the metrics of a host. */
  @Command(name = "metrics", description = "Shows a host's metrics as Prometheus text.")
  static final class Metrics extends HostCommand {
    @Override
    public Integer call() {
      return main().callOpenly(ApiCall.of("GET", "metrics"));
    }
  }

  /** Tells whether a host is ready. */
  @Command(
      name = "ready",
      description = "Tells whether a host is ready for callers; exit code 1 if it is not.")
  static final class Ready extends HostCommand {
    @Override
    public Integer call() {
      return main().callOpenly(ApiCall.of("GET", "readyz"));
    }
  }
}
