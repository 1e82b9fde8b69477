package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands on releases. */
@Command(name = "release", description = "Starts, watches and takes back releases.")
final class ReleaseCommand extends SubCommand {

  private static final String ENVIRONMENT = "Environment, for example production.";
  private static final String ID = "Id of the release.";

  /** Longest wait of one call, in milliseconds; the host allows 10 s. */
  private static final long WATCH_MILLIS = 5_000;

  @Command(name = "list", description = "Lists the releases of an environment.")
  int list(@Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment) {
    return main().call(releases("GET", environment));
  }

  @Command(name = "start", description = "Adds a release to the document of an environment.")
  int start(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(
              paramLabel = "FILE",
              description = "JSON: id, service, fromVersion, toVersion, startAt, deadline.")
          Path file,
      @Option(
              names = "--seen",
              required = true,
              paramLabel = "N",
              description = "Generation of the document that you saw.")
          long seen) {
    return main()
        .call(releases("POST", environment).with("seen", seen).withBody(main().readFile(file)));
  }

  @Command(name = "status", description = "Shows the state of a release.")
  int status(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "ID", description = ID) String id) {
    return main().call(release("GET", environment, id));
  }

  @Command(
      name = "watch",
      description = {
        "Shows each change of a release until it is done, reversed or taken back.",
        "Exit code 0 if it is done, 1 if it was reversed or is still running when the time is over."
      })
  int watch(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "ID", description = ID) String id,
      @Option(
              names = "--for",
              paramLabel = "SECONDS",
              defaultValue = "3600",
              description = "Longest time to watch, in seconds (default: ${DEFAULT-VALUE}).")
          long seconds) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    long version = -1;
    Reply reply = main().send(release("GET", environment, id));
    while (true) {
      if (!(reply instanceof Reply.Answered answered) || answered.status() != 200) {
        return main().finish(reply);
      }
      JsonNode body = answered.body();
      boolean isHalted = body.path("halted").asBoolean();
      if (body.path("version").asLong() != version || isHalted) {
        version = body.path("version").asLong();
        main().print(body);
      }
      String state = body.path("record").path("state").asText("").toLowerCase(Locale.ROOT);
      if (state.equals("done")) {
        return 0;
      }
      if (isHalted || state.equals("reversed") || System.nanoTime() - end >= 0) {
        return CtlMain.REFUSED;
      }
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
      long waitMillis = Math.max(1, Math.min(WATCH_MILLIS, leftMillis));
      reply =
          main().send(release("GET", environment, id).with("after", version).withWait(waitMillis));
    }
  }

  @Command(
      name = "take-back",
      description = {
        "Takes a release back: its version gets no more traffic on any host.",
        "Exit code 1 if a majority of the members has not confirmed it; it spreads further then."
      })
  int takeBack(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "ID", description = ID) String id,
      @Option(
              names = "--reason",
              required = true,
              paramLabel = "TEXT",
              description = "Why, for the record.")
          String reason) {
    ApiCall call =
        ApiCall.of("POST", "v1", "environments", environment, "releases", id, "take-back");
    return main().call(call.with("reason", reason));
  }

  private static ApiCall releases(String method, String environment) {
    return ApiCall.of(method, "v1", "environments", environment, "releases");
  }

  private static ApiCall release(String method, String environment, String id) {
    return ApiCall.of(method, "v1", "environments", environment, "releases", id);
  }
}
