package verbenahatch.ctl;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import verbenahatch.model.KeyHash;

/** Commands that issue, list and withdraw callers' keys. */
@Command(name = "key", description = "Issues, lists and withdraws callers' keys.")
final class KeyCommand extends CommandGroup {

  private static final String ENVIRONMENT_DESCRIPTION = "Environment, for example production.";
  private static final String HASH_DESCRIPTION =
      "SHA-256 hash of the key in hex, as key list shows it, or the key itself.";

  /** Prefix of every key; a hash in hex never starts with it. */
  private static final String KEY_PREFIX = "vh_";

  private static final String KEY_FILE_DESCRIPTION =
      "File with the key itself, instead of its hash.";

  @Command(
      name = "issue",
      description = "Issues a key and shows it; the key cannot be shown again.")
  int issue(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "WORKSPACE", description = "Workspace that the key acts for.")
          String workspace) {
    return main().sendAndPrint(keysRequest("POST", environment).with("workspace", workspace));
  }

  @Command(name = "list", description = "Lists the hashes of all keys of an environment.")
  int list(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment) {
    return main().sendAndPrint(keysRequest("GET", environment));
  }

  @Command(
      name = "withdraw",
      description = {
        "Withdraws a key and shows how far the withdrawal has spread.",
        "Exit code 1 if no majority of the members has confirmed it yet; it keeps spreading."
      })
  int withdraw(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "HASH", arity = "0..1", description = HASH_DESCRIPTION)
          @Nullable String hash,
      @Option(names = "--key-file", paramLabel = "FILE", description = KEY_FILE_DESCRIPTION)
          @Nullable Path keyFile) {
    return main().sendAndPrint(keyRequest("DELETE", environment, hash, keyFile));
  }

  @Command(name = "status", description = "Shows how far the withdrawal of a key has spread.")
  int status(
      @Parameters(paramLabel = "ENV", description = ENVIRONMENT_DESCRIPTION) String environment,
      @Parameters(paramLabel = "HASH", arity = "0..1", description = HASH_DESCRIPTION)
          @Nullable String hash,
      @Option(names = "--key-file", paramLabel = "FILE", description = KEY_FILE_DESCRIPTION)
          @Nullable Path keyFile) {
    return main().sendAndPrint(keyRequest("GET", environment, hash, keyFile));
  }

  private static ApiRequest keysRequest(String method, String environment) {
    return ApiRequest.of(method, "v1", "environments", environment, "keys");
  }

  private ApiRequest keyRequest(
      String method, String environment, @Nullable String hash, @Nullable Path keyFile) {
    if ((hash == null) == (keyFile == null)) {
      throw main().usageError("Give either HASH or --key-file FILE.");
    }
    String hashOrKey = hash;
    if (keyFile != null) {
      hashOrKey = new String(main().readFile(keyFile), StandardCharsets.UTF_8).strip();
    }
    if (hashOrKey != null && hashOrKey.startsWith(KEY_PREFIX)) {
      hashOrKey = KeyHash.of(hashOrKey);
    }
    return ApiRequest.of(
        method, "v1", "environments", environment, "keys", hashOrKey == null ? "" : hashOrKey);
  }
}
