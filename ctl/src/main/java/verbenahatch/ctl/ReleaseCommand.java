package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that start, watch and roll back releases. */
@Command(name = "release", description = "Starts, watches and rolls back releases.")
final class ReleaseCommand extends CommandGroup {

  private static final String ENVIRONMENT_DESCRIPTION = "Environment, for example production.";
  private static final String ID_DESCRIPTION = "Id of the release.";

  /** Longest wait of one request; the host allows at most 10 s. */
  private static final long MAX_WATCH_WAIT_MILLIS = 5_000;

  @Command(name = "list", description = "Lists the releases of an environment.")
  int list(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment) {
    return main().sendAndPrint(releasesRequest("GET", environment));
  }

  @Command(name = "start", description = "Adds a release to the document of an environment.")
  int start(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(
              paramLabel = "FILE",
              description = "JSON: id, service, fromVersion, toVersion, startAt, deadline.")
          Path file,
      @Option(
              names = "--seen",
              required = true,
              paramLabel = "N",
              description = "Generation of the document that you saw.")
          long expectedGeneration) {
    return main()
        .sendAndPrint(
            releasesRequest("POST", environment)
                .with("seen", expectedGeneration)
                .withBody(main().readFile(file)));
  }

  @Command(name = "status", description = "Shows the state of a release.")
  int status(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "ID", description = ID_DESCRIPTION) String id) {
    return main().sendAndPrint(releaseRequest("GET", environment, id));
  }

  @Command(
      name = "watch",
      description = {
        "Shows each change of a release until it is done, reversed or rolled back.",
        "Exit code 0 if it is done, 1 if it was reversed or is still running after that time."
      })
  int watch(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "ID", description = ID_DESCRIPTION) String id,
      @Option(
              names = "--for",
              paramLabel = "SECONDS",
              defaultValue = "3600",
              description = "Longest time to watch, in seconds (default: ${DEFAULT-VALUE}).")
          long seconds) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    long version = -1;
    ApiResult result = main().send(releaseRequest("GET", environment, id));
    while (true) {
      if (!(result instanceof ApiResult.Responded responded) || responded.status() != 200) {
        return main().report(result);
      }
      JsonNode body = responded.body();
      boolean isHalted = body.path("halted").asBoolean();
      if (body.path("version").asLong() != version || isHalted) {
        version = body.path("version").asLong();
        main().print(body);
      }
      String state = body.path("record").path("state").asText("").toLowerCase(Locale.ROOT);
      if (state.equals("done")) {
        return 0;
      }
      if (isHalted || state.equals("reversed") || System.nanoTime() - endNanos >= 0) {
        return CtlMain.EXIT_REFUSED;
      }
      long remainingMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
      long waitMillis = Math.max(1, Math.min(MAX_WATCH_WAIT_MILLIS, remainingMillis));
      result =
          main()
              .send(
                  releaseRequest("GET", environment, id)
                      .with("after", version)
                      .withWait(waitMillis));
    }
  }

  @Command(
      name = "take-back",
      description = {
        "Rolls a release back: its version gets no more traffic on any host.",
        "Exit code 1 if no majority of the members has confirmed it yet; it keeps spreading."
      })
  int rollBack(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "ID", description = ID_DESCRIPTION) String id,
      @Option(
              names = "--reason",
              required = true,
              paramLabel = "TEXT",
              description = "Reason, which is recorded.")
          String reason) {
    ApiRequest request =
        ApiRequest.of("POST", "v1", "environments", environment, "releases", id, "take-back");
    return main().sendAndPrint(request.with("reason", reason));
  }

  private static ApiRequest releasesRequest(String method, String environment) {
    return ApiRequest.of(method, "v1", "environments", environment, "releases");
  }

  private static ApiRequest releaseRequest(String method, String environment, String id) {
    return ApiRequest.of(method, "v1", "environments", environment, "releases", id);
  }
}
