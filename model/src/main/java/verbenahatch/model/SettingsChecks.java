package verbenahatch.model;

import java.util.List;
import java.util.regex.Pattern;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;

/** Parses and validates the settings of a host. */
public final class SettingsChecks {

  /** A shorter secret can be found by brute force from one recorded handshake. */
  private static final int MIN_SECRET_CHARACTERS = 16;

  private static final int MAX_PORT = 65_535;
  private static final int MAX_DRAIN_SECONDS = 3_600;
  private static final int MAX_ADVICE_SECONDS = 600;
  private static final int MAX_STORE_TIMEOUT_MILLIS = 60_000;
  private static final Pattern SHA_256_HEX = Pattern.compile("[0-9a-f]{64}");

  private SettingsChecks() {}

  /**
   * Parses settings and checks them.
   *
   * @param text JSON with comments in UTF-8, not null
   * @return the settings, or every fault found; only one fault if the text cannot be parsed
   */
  public static Result<Settings, List<Fault>> read(byte[] text) {
    Settings settings;
    try {
      settings = Json.read(text, Settings.class);
    } catch (JsonException e) {
      return Result.err(List.of(new Fault("$", String.valueOf(e.getMessage()), "valid settings")));
    }
    List<Fault> faults = check(settings);
    return faults.isEmpty() ? Result.ok(settings) : Result.err(faults);
  }

  /**
   * Checks parsed settings.
   *
   * @param settings the settings, not null
   * @return every fault, empty if there is none; they do not contain the values of secrets
   */
  public static List<Fault> check(Settings settings) {
    FaultList faults = new FaultList();
    faults.name("host", settings.host());
    faults.name("region", settings.region());
    faults.name("zone", settings.zone());
    faults.name("environment", settings.environment());
    checkEndpoint(faults, "callers", settings.callers());
    checkEndpoint(faults, "admin", settings.admin());
    checkEndpoint(faults, "peers", settings.peers());
    checkPorts(faults, settings);
    checkPlatform(faults, settings.platform());
    faults.require(
        settings.fleetSecret().length() >= MIN_SECRET_CHARACTERS,
        "fleetSecret",
        settings.fleetSecret().length() + " characters",
        "at least " + MIN_SECRET_CHARACTERS + " characters");
    checkOperators(faults, settings);
    faults.range("drainSeconds", settings.drainSeconds(), 1, MAX_DRAIN_SECONDS, "s");
    faults.range("adviceSeconds", settings.adviceSeconds(), 1, MAX_ADVICE_SECONDS, "s");
    return faults.faults();
  }

  private static void checkEndpoint(FaultList faults, String path, Settings.Endpoint endpoint) {
    faults.address(path + ".address", endpoint.address());
    faults.range(path + ".port", endpoint.port(), 0, MAX_PORT, "(0 takes any free port)");
  }

  private static void checkPorts(FaultList faults, Settings settings) {
    int callers = settings.callers().port();
    int admin = settings.admin().port();
    int peers = settings.peers().port();
    boolean distinct =
        (callers == 0 || callers != admin && callers != peers) && (admin == 0 || admin != peers);
    faults.require(
        distinct, "callers.port, admin.port, peers.port", callers, "three different ports");
  }

  private static void checkPlatform(FaultList faults, Settings.Platform platform) {
    faults.require(
        !platform.urls().isEmpty(), "platform.urls", "an empty list", "one or more http URLs");
    for (int i = 0; i < platform.urls().size(); i++) {
      faults.httpUrl("platform.urls[" + i + "]", platform.urls().get(i));
    }
    faults.range(
        "platform.timeoutMillis", platform.timeoutMillis(), 1, MAX_STORE_TIMEOUT_MILLIS, "ms");
  }

  private static void checkOperators(FaultList faults, Settings settings) {
    faults.require(
        !settings.operators().isEmpty(), "operators", "no entry", "at least one operator");
    for (String hash : settings.operators().keySet()) {
      faults.require(
          SHA_256_HEX.matcher(hash).matches(),
          "operators",
          "a key of " + hash.length() + " characters",
          "SHA-256 hashes of 64 lower-case hex digits");
    }
  }
}
