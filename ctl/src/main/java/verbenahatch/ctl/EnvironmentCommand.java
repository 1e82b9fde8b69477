package verbenahatch.ctl;

import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands on the documents of environments. */
@Command(
    name = "environment",
    description = "Reads, checks, compares, writes and promotes documents of environments.")
final class EnvironmentCommand extends SubCommand {

  private static final String ENVIRONMENT = "Environment, for example trial or production.";

  @Command(name = "get", description = "Shows the document of an environment.")
  int get(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Option(names = "--only-document", description = "Leaves out the generation and source.")
          boolean onlyDocument) {
    Reply reply = main().send(ApiCall.of("GET", "v1", "environments", environment));
    if (onlyDocument && reply instanceof Reply.Answered answered && answered.status() == 200) {
      main().print(answered.body().path("document"));
      return 0;
    }
    return main().finish(reply);
  }

  @Command(name = "put", description = "Replaces the document of an environment.")
  int put(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "FILE", description = "JSON with comments; - reads standard input.")
          Path file,
      @Option(
              names = "--seen",
              paramLabel = "N",
              defaultValue = "0",
              description =
                  "Generation that you saw; the default 0 creates the document and changes none.")
          long seen) {
    return main()
        .call(
            ApiCall.of("PUT", "v1", "environments", environment)
                .with("seen", seen)
                .withBody(main().readFile(file)));
  }

  @Command(
      name = "validate",
      description = "Lists every fault of a document; exit code 1 if there is one.")
  int validate(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "FILE", description = "JSON with comments.") Path file) {
    Reply reply =
        main()
            .send(
                ApiCall.of("POST", "v1", "environments", environment, "validate")
                    .withBody(main().readFile(file)));
    int code = main().finish(reply);
    boolean isFaulty =
        reply instanceof Reply.Answered answered
            && answered.body().path("valid").isBoolean()
            && !answered.body().path("valid").booleanValue();
    return isFaulty ? CtlMain.REFUSED : code;
  }

  @Command(
      name = "diff",
      description = "Shows what a file or another environment would change in an environment.")
  int diff(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "FILE", arity = "0..1", description = "JSON with comments.")
          @Nullable Path file,
      @Option(names = "--with", paramLabel = "ENV", description = "Compares with this environment.")
          @Nullable String other) {
    if ((file == null) == (other == null)) {
      throw main().usageError("Give either FILE or --with ENV.");
    }
    if (other != null) {
      return main()
          .call(ApiCall.of("GET", "v1", "environments", environment, "diff").with("with", other));
    }
    return main()
        .call(
            ApiCall.of("POST", "v1", "environments", environment, "diff")
                .withBody(file == null ? new byte[0] : main().readFile(file)));
  }

  @Command(
      name = "promote",
      description = "Copies the document of one environment over that of another.")
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
          String from,
      @Option(
              names = "--seen",
              required = true,
              paramLabel = "N",
              description = "Generation of ENV that you saw, 0 if there was none.")
          long seen,
      @Option(
              names = "--seen-from",
              required = true,
              paramLabel = "N",
              description = "Generation that you saw of the environment to copy.")
          long seenFrom) {
    return main()
        .call(
            ApiCall.of("POST", "v1", "environments", environment, "promote")
                .with("from", from)
                .with("seen", seen)
                .with("seenFrom", seenFrom));
  }
}
