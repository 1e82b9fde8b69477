package verbenahatch.ctl;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.ParentCommand;
import verbenahatch.kernel.Json;

/** Asks a host on the users' platform where a request would go, without sending the request. */
@Command(
    name = "where",
    description = {
      "Tells where a request would go now, and why, without sending it or changing anything.",
      "--server names the address for metrics and state of a host on the users' platform.",
      "Exit code 1 if the request would be refused."
    })
final class WhereCommand implements Callable<Integer> {

  @ParentCommand private @Nullable CtlMain main;

  @Parameters(index = "0", paramLabel = "HOST", description = "Host name that the request names.")
  private String host = "";

  @Parameters(index = "1", paramLabel = "PATH", description = "Path of the request.")
  private String path = "";

  @Option(
      names = "--method",
      paramLabel = "METHOD",
      defaultValue = "GET",
      description = "Method of the request (default: ${DEFAULT-VALUE}).")
  private String method = "GET";

  @Option(
      names = "--key-file",
      paramLabel = "FILE",
      description = "File with the caller's key, - for standard input; the key is not printed.")
  private @Nullable Path keyFile;

  @Option(
      names = "--workspace",
      paramLabel = "NAME",
      description = "Workspace to assume in place of a key.")
  private @Nullable String workspace;

  @Option(names = "--object", paramLabel = "NAME", description = "Object that the request names.")
  private @Nullable String object;

  @Option(
      names = "--body-bytes",
      paramLabel = "N",
      defaultValue = "0",
      description = "Length of the body, in bytes (default: ${DEFAULT-VALUE}).")
  private long bodyBytes;

  @Option(names = "--zone", paramLabel = "ZONE", description = "Zone of the caller.")
  private @Nullable String zone;

  @Override
  public Integer call() {
    CtlMain started = main;
    if (started == null) {
      throw new IllegalStateException("not started through the command line");
    }
    Map<String, Object> query = new LinkedHashMap<>();
    query.put("host", host);
    query.put("path", path);
    query.put("method", method);
    query.put("bodyBytes", bodyBytes);
    if (keyFile != null) {
      String key = new String(started.readFile(keyFile), StandardCharsets.UTF_8);
      query.put("key", key.strip());
    }
    putIfGiven(query, "workspace", workspace);
    putIfGiven(query, "object", object);
    putIfGiven(query, "zone", zone);
    ApiResult result =
        started.sendWithoutCredential(ApiRequest.of("POST", "where").withBody(Json.write(query)));
    int exitCode = started.report(result);
    boolean refused =
        result instanceof ApiResult.Responded responded && responded.body().has("refusal");
    return refused ? CtlMain.EXIT_REFUSED : exitCode;
  }

  private static void putIfGiven(Map<String, Object> query, String name, @Nullable String value) {
    if (value != null) {
      query.put(name, value);
    }
  }
}
