package verbenahatch.ctl;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that start, end and list drains. */
@Command(
    name = "drain",
    description = "Drains targets, availability zones and hosts: they get no new work.")
final class DrainCommand extends CommandGroup {

  private static final String SEEN_DESCRIPTION =
      "Refuses the change unless this is the current generation of the drains.";

  /** The kinds of objects that can be drained. */
  enum Kind {
    target,
    zone,
    host
  }

  @Command(name = "list", description = "Lists the targets, zones and hosts that are draining.")
  int list() {
    return main().sendAndPrint(ApiRequest.of("GET", "v1", "drains"));
  }

  @Command(name = "start", description = "Starts the drain of a target, zone or host.")
  int start(
      @Parameters(paramLabel = "KIND", description = "target, zone or host.") Kind kind,
      @Parameters(paramLabel = "NAME", description = "Id of the target, name of zone or host.")
          String name,
      @Option(names = "--seen", paramLabel = "N", description = SEEN_DESCRIPTION)
          @Nullable Long expectedGeneration) {
    return main()
        .sendAndPrint(
            ApiRequest.of("PUT", "v1", "drains", kind.name(), name)
                .with("seen", expectedGeneration));
  }

  @Command(name = "end", description = "Ends the drain of a target, zone or host.")
  int end(
      @Parameters(paramLabel = "KIND", description = "target, zone or host.") Kind kind,
      @Parameters(paramLabel = "NAME", description = "Id of the target, name of zone or host.")
          String name,
      @Option(names = "--seen", paramLabel = "N", description = SEEN_DESCRIPTION)
          @Nullable Long expectedGeneration) {
    return main()
        .sendAndPrint(
            ApiRequest.of("DELETE", "v1", "drains", kind.name(), name)
                .with("seen", expectedGeneration));
  }
}
