package verbenahatch.ctl;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import verbenahatch.model.KeyHash;

/** Commands on callers' keys. */
@Command(name = "key", description = "Issues, lists and withdraws callers' keys.")
final class KeyCommand extends SubCommand {

  private static final String ENVIRONMENT = "Environment, for example production.";
  private static final String HASH =
      "SHA-256 hash of the key in hex, as key list shows it, or the key itself.";

  /** Start of every key; the hash in hex never starts so. */
  private static final String KEY_PREFIX = "vh_";

  private static final String KEY_FILE = "File with the key itself, instead of its hash.";

  @Command(name = "issue", description = "Issues a key and shows it; it cannot be shown again.")
  int issue(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "WORKSPACE", description = "Workspace that the key acts for.")
          String workspace) {
    return main().call(keys("POST", environment).with("workspace", workspace));
  }

  @Command(name = "list", description = "Lists the hashes of all keys of an environment.")
  int list(@Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment) {
    return main().call(keys("GET", environment));
  }

  @Command(
      name = "withdraw",
      description = {
        "Withdraws a key and tells how far the withdrawal has spread.",
        "Exit code 1 if a majority of the members has not confirmed it; it spreads further then."
      })
  int withdraw(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "HASH", arity = "0..1", description = HASH) @Nullable String hash,
      @Option(names = "--key-file", paramLabel = "FILE", description = KEY_FILE)
          @Nullable Path keyFile) {
    return main().call(key("DELETE", environment, hash, keyFile));
  }

  @Command(name = "status", description = "Tells how far the withdrawal of a key has spread.")
  int status(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT) String environment,
      @Parameters(paramLabel = "HASH", arity = "0..1", description = HASH) @Nullable String hash,
      @Option(names = "--key-file", paramLabel = "FILE", description = KEY_FILE)
          @Nullable Path keyFile) {
    return main().call(key("GET", environment, hash, keyFile));
  }

  private static ApiCall keys(String method, String environment) {
    return ApiCall.of(method, "v1", "environments", environment, "keys");
  }

  private ApiCall key(
      String method, String environment, @Nullable String hash, @Nullable Path keyFile) {
    if ((hash == null) == (keyFile == null)) {
      throw main().usageError("Give either HASH or --key-file FILE.");
    }
    String chosen = hash;
    if (keyFile != null) {
      chosen = new String(main().readFile(keyFile), StandardCharsets.UTF_8).strip();
    }
    if (chosen != null && chosen.startsWith(KEY_PREFIX)) {
      chosen = KeyHash.of(chosen);
    }
    return ApiCall.of(
        method, "v1", "environments", environment, "keys", chosen == null ? "" : chosen);
  }
}
