package verbenahatch.steering.model;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.model.Fault;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.model.SteeringSettings.HostCapacity;

/** Reads and validates the settings of a steering process, which are JSON with comments. */
public final class SettingsReader {

  private static final Set<String> KNOWN_SETTINGS =
      Set.of(
          "host",
          "zone",
          "region",
          "callers",
          "readiness",
          "directory",
          "internalAddress",
          "peerPort",
          "metricsPort",
          "store",
          "seeds",
          "regionsByZone",
          "firstStart",
          "cpuShare",
          "cores",
          "linkMbps",
          "stopTime",
          "directoryTimeToLive",
          "quotaWindow",
          "quotaOvershoot",
          "quotaSlack",
          "maxRegionShift",
          "retryRatio",
          "retrySlack",
          "canaryShare",
          "canarySlack");

  private static final int MAX_PORT = 65_535;

  /** Time from SIGTERM to SIGKILL if the operators name none, in ms. */
  private static final long DEFAULT_STOP_MILLIS = 5_000;

  /** Window of quotas if the operators name none, in ms; rates hold without an overshoot then. */
  private static final long DEFAULT_QUOTA_WINDOW_MILLIS = 5_000;

  /** Fraction of a service's requests that a new version may receive if there is no bound. */
  private static final double DEFAULT_CANARY_SHARE = 0.1;

  private final JsonNode root;
  private final List<Fault> faults = new ArrayList<>();

  private SettingsReader(JsonNode root) {
    this.root = root;
  }

  /**
   * Reads and validates settings.
   *
   * @param text JSON with comments in UTF-8, not null
   * @return the settings, or every fault found
   */
  public static Result<SteeringSettings, List<Fault>> read(byte[] text) {
    JsonNode root;
    try {
      root = Json.readTree(text);
    } catch (JsonException e) {
      return Result.err(List.of(new Fault("settings", e.toString(), "JSON with comments")));
    }
    SettingsReader reader = new SettingsReader(root);
    SteeringSettings settings = reader.settings();
    return reader.faults.isEmpty() ? Result.ok(settings) : Result.err(reader.faults);
  }

  private SteeringSettings settings() {
    Set<String> unknown = new TreeSet<>();
    root.fieldNames().forEachRemaining(unknown::add);
    unknown.removeAll(KNOWN_SETTINGS);
    unknown.forEach(name -> fault(name, "a setting that docs/settings.md lists"));
    return new SteeringSettings(
        text("host"),
        text("zone"),
        text("region"),
        address("callers"),
        address("readiness"),
        address("directory"),
        text("internalAddress"),
        port("peerPort"),
        port("metricsPort"),
        address("store"),
        seeds(),
        regionsByZone(),
        flag("firstStart"),
        new HostCapacity(number("cpuShare", 0) * number("cores", 1), number("linkMbps", 0)),
        new Bounds(
            millis("stopTime", DEFAULT_STOP_MILLIS),
            millis("directoryTimeToLive", Long.MAX_VALUE),
            millis("quotaWindow", DEFAULT_QUOTA_WINDOW_MILLIS),
            number("quotaOvershoot", 0),
            number("quotaSlack", 0),
            number("maxRegionShift", 1),
            number("retryRatio", 1),
            number("retrySlack", 0),
            number("canaryShare", DEFAULT_CANARY_SHARE),
            number("canarySlack", 0)));
  }

  private void fault(String name, String expected) {
    JsonNode node = root.path(name);
    faults.add(new Fault(name, node.isMissingNode() ? "missing" : node.toString(), expected));
  }

  private String text(String name) {
    JsonNode node = root.path(name);
    if (!node.isTextual() || node.textValue().isBlank()) {
      fault(name, "a non-blank string");
      return "";
    }
    return node.textValue();
  }

  private String address(String name) {
    String value = root.path(name).asText("");
    if (!isAddress(value)) {
      fault(name, "an IP address and a port, such as 10.1.0.23:8080");
    }
    return value;
  }

  private static boolean isAddress(String value) {
    int colon = value.lastIndexOf(':');
    if (colon <= 0) {
      return false;
    }
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      return port > 0 && port <= MAX_PORT;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private int port(String name) {
    int value = root.path(name).asInt(0);
    if (value <= 0 || value > MAX_PORT) {
      fault(name, "a port from 1 to 65535");
    }
    return value;
  }

  /** Returns whether a setting is missing or null, as for a bound that the operators lack. */
  private boolean isAbsent(String name) {
    JsonNode node = root.path(name);
    return node.isMissingNode() || node.isNull();
  }

  private long millis(String name, long ifAbsent) {
    if (isAbsent(name)) {
      return ifAbsent;
    }
    OptionalLong value = Durations.readMillis(root.path(name).asText(""));
    if (value.isEmpty()) {
      fault(name, "a duration such as 1500ms or 2.5s");
    }
    return value.orElse(0);
  }

  private double number(String name, double ifAbsent) {
    if (isAbsent(name)) {
      return ifAbsent;
    }
    JsonNode node = root.path(name);
    if (!node.isNumber() || node.doubleValue() < 0) {
      fault(name, "a non-negative number");
    }
    return node.asDouble(0);
  }

  private boolean flag(String name) {
    JsonNode node = root.path(name);
    if (!node.isBoolean()) {
      fault(name, "true or false");
    }
    return node.asBoolean(false);
  }

  private List<String> seeds() {
    List<String> seeds = new ArrayList<>();
    if (isAbsent("seeds")) {
      return seeds;
    }
    JsonNode node = root.path("seeds");
    if (!node.isArray()) {
      fault("seeds", "a list of addresses, possibly empty");
      return seeds;
    }
    for (JsonNode seed : node) {
      if (isAddress(seed.asText(""))) {
        seeds.add(seed.asText());
      } else {
        fault("seeds", "IP addresses with ports");
      }
    }
    return seeds;
  }

  private Map<String, String> regionsByZone() {
    Map<String, String> regionsByZone = new LinkedHashMap<>();
    JsonNode node = root.path("regionsByZone");
    if (!node.isObject() || node.isEmpty()) {
      fault("regionsByZone", "the region of each zone");
      return regionsByZone;
    }
    node.fields()
        .forEachRemaining(entry -> regionsByZone.put(entry.getKey(), entry.getValue().asText()));
    return regionsByZone;
  }
}
