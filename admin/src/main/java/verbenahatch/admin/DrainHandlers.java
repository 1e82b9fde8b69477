package verbenahatch.admin;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Drains;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Result;
import verbenahatch.model.EnvironmentDocument;

/** Handles requests that start, end and list drains of targets, availability zones and hosts. */
final class DrainHandlers {

  private static final String OBJECT_NAME = "drains/fleet";
  private static final List<String> KINDS = List.of("target", "zone", "host");

  private final JsonObjects objects;
  private final ConfigView config;
  private final Fleet fleet;

  DrainHandlers(JsonObjects objects, ConfigView config, Fleet fleet) {
    this.objects = objects;
    this.config = config;
    this.fleet = fleet;
  }

  Result<Object, AdminError> list(AdminRequest request) {
    Result<Optional<Drains>, AdminError> stored = objects.read(OBJECT_NAME, Drains.class);
    Drains inForce = config.drains();
    if (!stored.isOk() && inForce.generation() == 0) {
      return Result.err(stored.error());
    }
    Drains newest = newest(stored.isOk() ? stored.get() : Optional.empty());
    return Result.ok(
        new ResponseBodies.DrainList(
            newest.generation(),
            inForce.generation(),
            sorted(newest.targets()),
            sorted(newest.zones()),
            sorted(newest.hosts())));
  }

  Result<Object, AdminError> drain(AdminRequest request) {
    return change(request, true);
  }

  Result<Object, AdminError> undrain(AdminRequest request) {
    return change(request, false);
  }

  private Result<Object, AdminError> change(AdminRequest request, boolean add) {
    String kind = request.segment(1);
    String name = request.segment(2);
    if (!KINDS.contains(kind)) {
      return Result.err(AdminError.BadInput.of("kind", kind, "one of " + KINDS));
    }
    Set<String> knownNames = knownNames(kind);
    if (add && !knownNames.contains(name)) {
      return Result.err(AdminError.BadInput.of(kind, name, "one of " + knownNames));
    }
    boolean isConditional = request.query().containsKey("seen");
    Result<Long, AdminError> expectedGeneration =
        isConditional ? request.expectedGeneration("seen") : Result.ok(0L);
    if (!expectedGeneration.isOk()) {
      return Result.err(expectedGeneration.error());
    }
    boolean[] changed = new boolean[1];
    return objects
        .update(
            OBJECT_NAME,
            Drains.class,
            stored -> {
              Drains current = newest(stored);
              if (isConditional && current.generation() != expectedGeneration.get()) {
                return Result.err(
                    new AdminError.Conflict(
                        OBJECT_NAME, expectedGeneration.get(), current.generation()));
              }
              Drains updated = apply(current, kind, name, add);
              changed[0] = !updated.equals(current);
              return Result.ok(updated);
            })
        .map(drains -> new ResponseBodies.Changed(OBJECT_NAME, drains.generation(), changed[0]));
  }

  private static Drains apply(Drains current, String kind, String name, boolean add) {
    Set<String> targets = new TreeSet<>(current.targets());
    Set<String> zones = new TreeSet<>(current.zones());
    Set<String> hosts = new TreeSet<>(current.hosts());
    Set<String> selected =
        switch (kind) {
          case "target" -> targets;
          case "zone" -> zones;
          default -> hosts;
        };
    boolean changed = add ? selected.add(name) : selected.remove(name);
    return changed ? new Drains(current.generation() + 1, targets, zones, hosts) : current;
  }

  private Set<String> knownNames(String kind) {
    Set<String> knownNames = new TreeSet<>();
    Optional<EnvironmentDocument> document = config.document();
    switch (kind) {
      case "target" ->
          document.ifPresent(
              current ->
                  current
                      .services()
                      .forEach(
                          service ->
                              service.targets().forEach(target -> knownNames.add(target.id()))));
      case "zone" ->
          document.ifPresent(
              current -> current.regions().forEach(region -> knownNames.addAll(region.zones())));
      default -> fleet.members().stream().map(Member::host).forEach(knownNames::add);
    }
    return knownNames;
  }

  // If the store was restored to an older state, the drains in force on this host are newer, so the
  // next write replaces the stored drains under a higher generation.
  private Drains newest(Optional<Drains> stored) {
    Drains inForce = config.drains();
    Drains storedDrains = stored.orElse(Drains.NONE);
    return inForce.generation() > storedDrains.generation() ? inForce : storedDrains;
  }

  private static List<String> sorted(Set<String> names) {
    return List.copyOf(new TreeSet<>(names));
  }
}
