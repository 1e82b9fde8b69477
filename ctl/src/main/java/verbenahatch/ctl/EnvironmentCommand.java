package verbenahatch.ctl;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands on environment documents. */
@Command(
    name = "environment",
    description = "Reads, validates, compares, writes and promotes environment documents.")
final class EnvironmentCommand extends CommandGroup {

  private static final String ENVIRONMENT_DESCRIPTION =
      "Environment, for example trial or production.";

  @Command(name = "get", description = "Shows the document of an environment.")
  int get(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Option(names = "--only-document", description = "Leaves out the generation and source.")
          boolean onlyDocument) {
    ApiResult result = main().send(ApiRequest.of("GET", "v1", "environments", environment));
    if (onlyDocument
        && result instanceof ApiResult.Responded responded
        && responded.status() == 200) {
      main().print(responded.body().path("document"));
      return 0;
    }
    return main().report(result);
  }

  @Command(name = "put", description = "Replaces the document of an environment.")
  int put(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "FILE", description = "JSON with comments; - reads standard input.")
          Path file,
      @Option(
              names = "--seen",
              paramLabel = "N",
              defaultValue = "0",
              description =
                  "Generation that you saw; the default 0 only creates a document, if none exists.")
          long expectedGeneration) {
    return main()
        .sendAndPrint(
            ApiRequest.of("PUT", "v1", "environments", environment)
                .with("seen", expectedGeneration)
                .withBody(main().readFile(file)));
  }

  @Command(
      name = "validate",
      description = "Lists every fault of a document; exit code 1 if there is one.")
  int validate(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "FILE", description = "JSON with comments.") Path file) {
    ApiResult result =
        main()
            .send(
                ApiRequest.of("POST", "v1", "environments", environment, "validate")
                    .withBody(main().readFile(file)));
    int exitCode = main().report(result);
    boolean hasFaults =
        result instanceof ApiResult.Responded responded
            && responded.body().path("valid").isBoolean()
            && !responded.body().path("valid").booleanValue();
    return hasFaults ? CtlMain.EXIT_REFUSED : exitCode;
  }

  @Command(
      name = "diff",
      description = "Shows what a file or another environment would change in an environment.")
  int diff(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "FILE", arity = "0..1", description = "JSON with comments.")
          @Nullable Path file,
      @Option(names = "--with", paramLabel = "ENV", description = "Compares with this environment.")
          @Nullable String otherEnvironment) {
    if ((file == null) == (otherEnvironment == null)) {
      throw main().usageError("Give either FILE or --with ENV.");
    }
    if (otherEnvironment != null) {
      return main()
          .sendAndPrint(
              ApiRequest.of("GET", "v1", "environments", environment, "diff")
                  .with("with", otherEnvironment));
    }
    return main()
        .sendAndPrint(
            ApiRequest.of("POST", "v1", "environments", environment, "diff")
                .withBody(file == null ? new byte[0] : main().readFile(file)));
  }

  @Command(
      name = "promote",
      description = "Replaces the document of one environment by that of another.")
  int promote(
      @Parameters(
              paramLabel = "ENV",
              defaultValue = "production",
              description = "Environment to change (default: ${DEFAULT-VALUE}).")
          String environment,
      @Option(
              names = "--from",
              paramLabel = "ENV",
              defaultValue = "trial",
              description = "Environment to copy (default: ${DEFAULT-VALUE}).")
          String sourceEnvironment,
      @Option(
              names = "--seen",
              required = true,
              paramLabel = "N",
              description = "Generation of ENV that you saw, 0 if there was none.")
          long expectedGeneration,
      @Option(
              names = "--seen-from",
              required = true,
              paramLabel = "N",
              description = "Generation that you saw of the environment to copy.")
          long expectedSourceGeneration) {
    return main()
        .sendAndPrint(
            ApiRequest.of("POST", "v1", "environments", environment, "promote")
                .with("from", sourceEnvironment)
                .with("seen", expectedGeneration)
                .with("seenFrom", expectedSourceGeneration));
  }
}
