package verbenahatch.ctl;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;
import verbenahatch.kernel.Json;

/** Operates a fleet through the administration API of its hosts. */
@Command(
    name = "verbenahatchctl",
    mixinStandardHelpOptions = true,
    scope = ScopeType.INHERIT,
    version = "verbenahatchctl 0.1.0",
    synopsisSubcommandLabel = "COMMAND",
    description = "Operates a fleet through the administration API of its hosts.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:refused, in conflict, not valid or not accepted yet; the text says why",
      "2:wrong command line or unreadable file",
      "3:no host answered"
    },
    subcommands = {
      StatusCommands.Status.class,
      StatusCommands.State.class,
      StatusCommands.Metrics.class,
      StatusCommands.Ready.class,
      EnvironmentCommand.class,
      KeyCommand.class,
      DrainCommand.class,
      ReleaseCommand.class,
      ExplainCommand.class,
      WhereCommand.class
    })
public final class CtlMain implements Runnable {

  /** Environment variable that holds the operator's credential. */
  static final String TOKEN_VARIABLE = "VERBENAHATCH_TOKEN";

  /** Exit code if the request was refused or is not accepted yet. */
  static final int EXIT_REFUSED = 1;

  /** Exit code if no host responded. */
  static final int EXIT_UNREACHABLE = 3;

  private static final int LOWEST_ERROR_STATUS = 400;
  private static final int STATUS_NOT_ACCEPTED_YET = 202;

  /** Output formats. */
  enum Output {
    json,
    text
  }

  @Option(
      names = "--server",
      scope = ScopeType.INHERIT,
      paramLabel = "URL",
      split = ",",
      defaultValue = "http://127.0.0.1:8081",
      description =
          "Admin URL of a host; several URLs, separated by commas, are tried in order"
              + " (default: ${DEFAULT-VALUE}).")
  private List<String> servers = List.of();

  @Option(
      names = "--token-file",
      scope = ScopeType.INHERIT,
      paramLabel = "FILE",
      description = "File with your operator credential (default: variable VERBENAHATCH_TOKEN).")
  private @Nullable Path tokenFile;

  @Option(
      names = "--output",
      scope = ScopeType.INHERIT,
      paramLabel = "FORM",
      defaultValue = "text",
      description = "json or text (default: ${DEFAULT-VALUE}).")
  private Output output = Output.text;

  @Option(
      names = "--timeout",
      scope = ScopeType.INHERIT,
      paramLabel = "SECONDS",
      defaultValue = "10",
      description = "Timeout of one request, in seconds (default: ${DEFAULT-VALUE}).")
  private int timeoutSeconds;

  @Spec private @Nullable CommandSpec spec;

  private final Map<String, String> environment;

  CtlMain(Map<String, String> environment) {
    this.environment = environment;
  }

  /**
   * Runs one command and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(commandLine(System.getenv()).execute(args));
  }

  static CommandLine commandLine(Map<String, String> environment) {
    return new CommandLine(new CtlMain(environment)).setCaseInsensitiveEnumValuesAllowed(true);
  }

  @Override
  public void run() {
    throw new ParameterException(spec().commandLine(), "Give a command.");
  }

  /** Sends a request with the operator's credential, prints the result, returns the exit code. */
  int sendAndPrint(ApiRequest request) {
    return report(send(request));
  }

  /** Sends a request with the operator's credential. */
  ApiResult send(ApiRequest request) {
    return send(request, token());
  }

  private ApiResult send(ApiRequest request, String token) {
    Duration timeout = Duration.ofSeconds(Math.max(1, timeoutSeconds));
    try (AdminClient client = new AdminClient(servers, token, timeout)) {
      return client.send(request);
    }
  }

  /** Sends a request without a credential, prints the result and returns the exit code. */
  int sendAndPrintWithoutCredential(ApiRequest request) {
    return report(sendWithoutCredential(request));
  }

  /** Sends a request without a credential. */
  ApiResult sendWithoutCredential(ApiRequest request) {
    return send(request, "");
  }

  /** Prints a result and returns the exit code. */
  int report(ApiResult result) {
    if (result instanceof ApiResult.Unreachable unreachable) {
      err().println("verbenahatchctl: no host answered: " + unreachable.reason());
      if (unreachable.maybeSent()) {
        err().println("verbenahatchctl: the change may have taken effect; check before you retry");
      }
      return EXIT_UNREACHABLE;
    }
    ApiResult.Responded responded = (ApiResult.Responded) result;
    JsonNode body = responded.body();
    if (output == Output.text && body.has("code")) {
      printError(body);
    } else {
      print(body);
    }
    return responded.status() >= LOWEST_ERROR_STATUS
            || responded.status() == STATUS_NOT_ACCEPTED_YET
        ? EXIT_REFUSED
        : 0;
  }

  void print(JsonNode body) {
    if (output == Output.json && !body.isTextual()) {
      out().println(Json.writePretty(body));
    } else {
      out().print(TextOutput.render(body));
    }
    out().flush();
  }

  private void printError(JsonNode body) {
    String message = body.path("message").asText();
    String object = body.has("object") ? " (" + body.path("object").asText() + ")" : "";
    err().println("verbenahatchctl: " + body.path("code").asText() + ": " + message + object);
    for (JsonNode fault : body.path("faults")) {
      err()
          .println(
              "  "
                  + fault.path("path").asText()
                  + ": "
                  + fault.path("value").asText()
                  + " (allowed: "
                  + fault.path("allowed").asText()
                  + ")");
    }
    err().flush();
  }

  /**
   * Reads a file named on the command line, or standard input for {@code -}; a file that cannot be
   * read is a usage error.
   */
  byte[] readFile(Path file) {
    try {
      return file.toString().equals("-") ? System.in.readAllBytes() : Files.readAllBytes(file);
    } catch (IOException e) {
      throw new ParameterException(spec().commandLine(), "Cannot read " + file + ": " + e);
    }
  }

  /** Creates the exception that reports an error in the command line. */
  ParameterException usageError(String message) {
    return new ParameterException(spec().commandLine(), message);
  }

  PrintWriter err() {
    return spec().commandLine().getErr();
  }

  private PrintWriter out() {
    return spec().commandLine().getOut();
  }

  private String token() {
    String token =
        tokenFile == null
            ? environment.getOrDefault(TOKEN_VARIABLE, "")
            : new String(readFile(tokenFile), StandardCharsets.UTF_8);
    if (token.isBlank()) {
      throw usageError("Give --token-file FILE or set " + TOKEN_VARIABLE + ".");
    }
    return token.strip();
  }

  private CommandSpec spec() {
    if (spec == null) {
      throw new IllegalStateException("not started through the command line");
    }
    return spec;
  }
}
