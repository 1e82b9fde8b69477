package verbenahatch.ctl;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands on drains. */
@Command(
    name = "drain",
    description = "Drains targets, availability zones and hosts: they get no new work.")
final class DrainCommand extends SubCommand {

  private static final String SEEN =
      "Refuses the change unless this is the current generation of the drains.";

  /** Names what can drain. */
  enum Kind {
    target,
    zone,
    host
  }

  @Command(name = "list", description = "Lists what drains.")
  int list() {
    return main().call(ApiCall.of("GET", "v1", "drains"));
  }

  @Command(name = "start", description = "Starts the drain of a target, zone or host.")
  int start(
      @Parameters(paramLabel = "KIND", description = "target, zone or host.") Kind kind,
      @Parameters(paramLabel = "NAME", description = "Id of the target, name of zone or host.")
          String name,
      @Option(names = "--seen", paramLabel = "N", description = SEEN) @Nullable Long seen) {
    return main().call(ApiCall.of("PUT", "v1", "drains", kind.name(), name).with("seen", seen));
  }

  @Command(name = "end", description = "Ends the drain of a target, zone or host.")
  int end(
      @Parameters(paramLabel = "KIND", description = "target, zone or host.") Kind kind,
      @Parameters(paramLabel = "NAME", description = "Id of the target, name of zone or host.")
          String name,
      @Option(names = "--seen", paramLabel = "N", description = SEEN) @Nullable Long seen) {
    return main().call(ApiCall.of("DELETE", "v1", "drains", kind.name(), name).with("seen", seen));
  }
}
