package verbenahatch.steering;

import java.util.List;
import java.util.Map;
import java.util.Set;
import verbenahatch.model.KeyHash;
import verbenahatch.steering.model.HostRecord;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.CallerLimits;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringService;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.model.SteeringSettings.Bounds;
import verbenahatch.steering.model.SteeringSettings.HostCapacity;
import verbenahatch.steering.model.TargetRecord;

/** Creates sample values for tests. */
final class Samples {

  static final Map<String, String> ZONES = Map.of("a1", "a", "a2", "a", "b1", "b");

  static final SteeringService SERVICE = new SteeringService("catalogue", 330, 3_000, 3);

  private Samples() {}

  static SteeringSettings settings(String host) {
    return settings(host, "a");
  }

  static SteeringSettings settings(String host, String region) {
    Bounds bounds = new Bounds(6_000, 5_000, 5_000, 0.1, 20, 0.15, 0.2, 56, 0.1, 50);
    return new SteeringSettings(
        host,
        region + "1",
        region,
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "127.0.0.1",
        4,
        5,
        "127.0.0.1:6",
        List.of(),
        ZONES,
        false,
        new HostCapacity(0, 0),
        bounds);
  }

  static TargetRecord target(String id, String zone, String version) {
    // Targets are ranked by their addresses, so each id has a port of its own.
    int port = 1_024 + Math.floorMod(id.hashCode(), 60_000);
    return new TargetRecord(id, "catalogue", "127.0.0.1", port, zone, version, 3, false, 0, 1);
  }

  static TargetRecord draining(TargetRecord record) {
    return new TargetRecord(
        record.id(),
        record.service(),
        record.address(),
        record.port(),
        record.zone(),
        record.version(),
        record.slots(),
        true,
        0,
        record.startedWallMillis());
  }

  static TargetRecord withId(TargetRecord record, String id) {
    return new TargetRecord(
        id,
        record.service(),
        record.address(),
        record.port(),
        record.zone(),
        record.version(),
        record.slots(),
        record.draining(),
        record.coldMillis(),
        record.startedWallMillis());
  }

  static TargetRecord restarted(TargetRecord record, long coldMillis) {
    return new TargetRecord(
        record.id(),
        record.service(),
        record.address(),
        record.port(),
        record.zone(),
        record.version(),
        record.slots(),
        false,
        coldMillis,
        record.startedWallMillis() + 1);
  }

  static HostRecord host(String name, String region) {
    return new HostRecord(name, "i-" + name, region + "1", region, "127.0.0.1:1", "127.0.0.1:4");
  }

  static SteeringRoute route(String name, String prefix, boolean idempotent, RoutePart... parts) {
    return new SteeringRoute(
        name, "h.example", prefix, List.of(parts), idempotent, 800, 300, 1, 2, false, Set.of());
  }

  static SteeringDocument document(long version, SteeringRoute... routes) {
    SteeringWorkspace workspace =
        new SteeringWorkspace("w", Set.of(KeyHash.of("key")), -1, 1_000, 1_000, Set.of());
    return new SteeringDocument(
        version,
        List.of(routes),
        Map.of("catalogue", SERVICE),
        List.of(workspace),
        new CallerLimits(16_384, 100_000, 3_000, 15_000));
  }
}
