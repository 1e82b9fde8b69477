package verbenahatch.model;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;
import verbenahatch.kernel.Result;
import verbenahatch.model.EnvironmentDocument.ClientBlock;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Release;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.model.EnvironmentDocument.Workspace;

/** Parses and validates environment documents. */
public final class DocumentChecks {

  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final int MAX_PORT = 65_535;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final double MAX_RATE = 10_000_000;
  private static final double MAX_MEGABITS_PER_SECOND = 1_000_000;
  private static final int MAX_SLOTS = 100_000;

  private final FaultList faults = new FaultList();
  private final EnvironmentDocument document;
  private final Map<String, Set<String>> zonesByRegion = new HashMap<>();
  private final Map<String, Service> services = new HashMap<>();

  private DocumentChecks(EnvironmentDocument document) {
    this.document = document;
  }

  /**
   * Parses a document and checks it.
   *
   * @param text JSON with comments in UTF-8, not null
   * @return the document, or every fault found; only one fault if the text cannot be parsed
   */
  public static Result<EnvironmentDocument, List<Fault>> read(byte[] text) {
    EnvironmentDocument document;
    try {
      document = Json.read(text, EnvironmentDocument.class);
    } catch (JsonException e) {
      return Result.err(List.of(new Fault("$", String.valueOf(e.getMessage()), "a document")));
    }
    List<Fault> faults = check(document);
    return faults.isEmpty() ? Result.ok(document) : Result.err(faults);
  }

  /**
   * Checks a parsed document.
   *
   * @param document the document, not null
   * @return every fault, empty if there is none
   */
  public static List<Fault> check(EnvironmentDocument document) {
    return new DocumentChecks(document).run();
  }

  private List<Fault> run() {
    faults.name("environment", document.environment());
    faults.range("generation", document.generation(), 1, Long.MAX_VALUE, "");
    checkRegions();
    checkLinks();
    checkServices();
    checkCapacity();
    checkRoutes();
    checkWorkspaces();
    checkReleases();
    checkClients();
    return faults.faults();
  }

  private void checkRegions() {
    faults.require(
        !document.regions().isEmpty(), "regions", "an empty list", "at least one region");
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < document.regions().size(); i++) {
      Region region = document.regions().get(i);
      String path = "regions[" + i + "]";
      faults.name(path + ".name", region.name());
      faults.require(
          zonesByRegion.put(region.name(), new HashSet<>(region.zones())) == null,
          path + ".name",
          region.name(),
          "a name used once");
      faults.require(
          !region.zones().isEmpty(), path + ".zones", "an empty list", "at least one zone");
      for (int j = 0; j < region.zones().size(); j++) {
        faults.name(path + ".zones[" + j + "]", region.zones().get(j));
        faults.unique(path + ".zones[" + j + "]", region.zones().get(j), zones);
      }
      faults.range(path + ".capacity", region.capacity(), 1, Integer.MAX_VALUE, "requests");
    }
  }

  private void checkLinks() {
    Set<String> pairs = new HashSet<>();
    for (int i = 0; i < document.links().size(); i++) {
      Link link = document.links().get(i);
      String path = "links[" + i + "]";
      faults.oneOf(path + ".from", link.from(), zonesByRegion.keySet());
      faults.oneOf(path + ".to", link.to(), zonesByRegion.keySet());
      faults.require(
          !link.from().equals(link.to()), path, link.from(), "a link between two regions");
      faults.unique(path, link.from() + " to " + link.to(), pairs);
      faults.range(
          path + ".megabitsPerSecond",
          link.megabitsPerSecond(),
          0,
          MAX_MEGABITS_PER_SECOND,
          "Mbit/s");
      faults.range(path + ".oneWayMillis", link.oneWayMillis(), 0, 10_000, "ms");
    }
  }

  private void checkServices() {
    Set<String> ids = new HashSet<>();
    for (int i = 0; i < document.services().size(); i++) {
      Service service = document.services().get(i);
      String path = "services[" + i + "]";
      faults.name(path + ".name", service.name());
      faults.require(
          services.put(service.name(), service) == null,
          path + ".name",
          service.name(),
          "a name used once");
      Set<String> versions = new HashSet<>();
      for (int j = 0; j < service.targets().size(); j++) {
        Target target = service.targets().get(j);
        versions.add(target.version());
        checkTarget(path + ".targets[" + j + "]", target, ids);
      }
      faults.oneOf(path + ".version", service.version(), versions);
    }
  }

  private void checkTarget(String path, Target target, Set<String> ids) {
    faults.name(path + ".id", target.id());
    faults.unique(path + ".id", target.id(), ids);
    faults.oneOf(path + ".region", target.region(), zonesByRegion.keySet());
    faults.oneOf(
        path + ".zone", target.zone(), zonesByRegion.getOrDefault(target.region(), Set.of()));
    faults.address(path + ".address", target.address());
    faults.range(path + ".port", target.port(), 1, MAX_PORT, "");
    faults.name(path + ".version", target.version());
    faults.range(path + ".slots", target.slots(), 1, MAX_SLOTS, "slots");
    faults.range(path + ".connections", target.connections(), 1, MAX_SLOTS, "connections");
  }

  private void checkCapacity() {
    Map<String, Integer> slotsByRegion = new HashMap<>();
    for (Service service : document.services()) {
      for (Target target : service.targets()) {
        slotsByRegion.merge(target.region(), target.slots(), Integer::sum);
      }
    }
    for (int i = 0; i < document.regions().size(); i++) {
      Region region = document.regions().get(i);
      int regionSlots = slotsByRegion.getOrDefault(region.name(), 0);
      faults.require(
          region.capacity() <= regionSlots,
          "regions[" + i + "].capacity",
          region.capacity(),
          "at most the " + regionSlots + " slots of the region's targets");
    }
  }

  private void checkRoutes() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < document.routes().size(); i++) {
      Route route = document.routes().get(i);
      String path = "routes[" + i + "]";
      faults.name(path + ".name", route.name());
      faults.unique(path + ".name", route.name(), names);
      faults.oneOf(path + ".service", route.service(), services.keySet());
      faults.require(
          !route.methods().isEmpty(), path + ".methods", "an empty list", "one of " + METHODS);
      for (int j = 0; j < route.methods().size(); j++) {
        faults.oneOf(path + ".methods[" + j + "]", route.methods().get(j), METHODS);
      }
      faults.require(
          route.pathPrefix().startsWith("/") && !route.pathPrefix().startsWith("/v1/"),
          path + ".pathPrefix",
          "\"" + route.pathPrefix() + "\"",
          "a path that starts with a slash and not with /v1/");
      faults.range(path + ".timeoutMillis", route.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS, "ms");
    }
  }

  private void checkWorkspaces() {
    Set<String> names = new HashSet<>();
    for (int i = 0; i < document.workspaces().size(); i++) {
      Workspace workspace = document.workspaces().get(i);
      String path = "workspaces[" + i + "]";
      faults.name(path + ".name", workspace.name());
      faults.unique(path + ".name", workspace.name(), names);
      faults.range(path + ".ratePerSecond", workspace.ratePerSecond(), 0, MAX_RATE, "requests/s");
      faults.range(path + ".burst", workspace.burst(), 1, MAX_RATE, "requests");
      faults.require(
          workspace.weight() > 0 && workspace.weight() <= 1_000,
          path + ".weight",
          workspace.weight(),
          "above 0, at most 1000");
    }
  }

  private void checkReleases() {
    Set<String> ids = new HashSet<>();
    Set<String> releasedServices = new HashSet<>();
    for (int i = 0; i < document.releases().size(); i++) {
      Release release = document.releases().get(i);
      String path = "releases[" + i + "]";
      faults.name(path + ".id", release.id());
      faults.unique(path + ".id", release.id(), ids);
      faults.oneOf(path + ".service", release.service(), services.keySet());
      faults.unique(path + ".service", release.service(), releasedServices);
      checkVersions(path, release);
      checkTimes(path, release);
    }
  }

  private void checkVersions(String path, Release release) {
    Service service = services.get(release.service());
    if (service == null) {
      return;
    }
    Set<String> versions = new HashSet<>();
    service.targets().forEach(target -> versions.add(target.version()));
    faults.oneOf(path + ".fromVersion", release.fromVersion(), versions);
    faults.oneOf(path + ".toVersion", release.toVersion(), versions);
    faults.require(
        !release.fromVersion().equals(release.toVersion()),
        path + ".toVersion",
        release.toVersion(),
        "another version than fromVersion");
  }

  private void checkTimes(String path, Release release) {
    try {
      Instant start = Instant.parse(release.startAt());
      Instant deadline = Instant.parse(release.deadline());
      faults.require(
          start.isBefore(deadline), path + ".deadline", release.deadline(), "a time after startAt");
    } catch (DateTimeParseException e) {
      faults.add(
          path + ".startAt, " + path + ".deadline",
          release.startAt() + ", " + release.deadline(),
          "ISO-8601 instants such as 2026-12-04T18:00:00Z");
    }
  }

  private void checkClients() {
    Set<String> blocks = new HashSet<>();
    for (int i = 0; i < document.clients().size(); i++) {
      ClientBlock client = document.clients().get(i);
      String path = "clients[" + i + "]";
      checkBlock(path + ".block", client.block());
      faults.unique(path + ".block", client.block(), blocks);
      faults.oneOf(path + ".region", client.region(), zonesByRegion.keySet());
    }
  }

  private void checkBlock(String path, String block) {
    int slash = block.indexOf('/');
    if (slash < 0 || !block.substring(slash + 1).matches("[0-9]{1,2}")) {
      faults.add(path, "\"" + block + "\"", "an IPv4 prefix such as 10.1.0.0/16");
      return;
    }
    faults.address(path, block.substring(0, slash));
    faults.range(path, Integer.parseInt(block.substring(slash + 1)), 1, 32, "prefix bits");
  }
}
