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

/** Starts, ends and lists drains of targets, availability zones and hosts. */
final class DrainCalls {

  private static final String NAME = "drains/fleet";
  private static final List<String> KINDS = List.of("target", "zone", "host");

  private final JsonObjects objects;
  private final ConfigView config;
  private final Fleet fleet;

  DrainCalls(JsonObjects objects, ConfigView config, Fleet fleet) {
    this.objects = objects;
    this.config = config;
    this.fleet = fleet;
  }

  Result<Object, AdminError> list(AdminCall call) {
    Result<Optional<Drains>, AdminError> stored = objects.read(NAME, Drains.class);
    Drains held = config.drains();
    if (!stored.isOk() && held.generation() == 0) {
      return Result.err(stored.error());
    }
    Drains newest = newest(stored.isOk() ? stored.get() : Optional.empty());
    return Result.ok(
        new Answer.DrainList(
            newest.generation(),
            held.generation(),
            sorted(newest.targets()),
            sorted(newest.zones()),
            sorted(newest.hosts())));
  }

  Result<Object, AdminError> drain(AdminCall call) {
    return change(call, true);
  }

  Result<Object, AdminError> undrain(AdminCall call) {
    return change(call, false);
  }

  private Result<Object, AdminError> change(AdminCall call, boolean add) {
    String kind = call.segment(1);
    String name = call.segment(2);
    if (!KINDS.contains(kind)) {
      return Result.err(AdminError.BadInput.of("kind", kind, "one of " + KINDS));
    }
    Set<String> known = known(kind);
    if (add && !known.contains(name)) {
      return Result.err(AdminError.BadInput.of(kind, name, "one of " + known));
    }
    boolean isChecked = call.query().containsKey("seen");
    Result<Long, AdminError> seen = isChecked ? call.seen("seen") : Result.ok(0L);
    if (!seen.isOk()) {
      return Result.err(seen.error());
    }
    boolean[] changed = new boolean[1];
    return objects
        .update(
            NAME,
            Drains.class,
            stored -> {
              Drains current = newest(stored);
              if (isChecked && current.generation() != seen.get()) {
                return Result.err(new AdminError.Conflict(NAME, seen.get(), current.generation()));
              }
              Drains next = apply(current, kind, name, add);
              changed[0] = !next.equals(current);
              return Result.ok(next);
            })
        .map(drains -> new Answer.Changed(NAME, drains.generation(), changed[0]));
  }

  private static Drains apply(Drains current, String kind, String name, boolean add) {
    Set<String> targets = new TreeSet<>(current.targets());
    Set<String> zones = new TreeSet<>(current.zones());
    Set<String> hosts = new TreeSet<>(current.hosts());
    Set<String> chosen =
        switch (kind) {
          case "target" -> targets;
          case "zone" -> zones;
          default -> hosts;
        };
    boolean changed = add ? chosen.add(name) : chosen.remove(name);
    return changed ? new Drains(current.generation() + 1, targets, zones, hosts) : current;
  }

  private Set<String> known(String kind) {
    Set<String> known = new TreeSet<>();
    Optional<EnvironmentDocument> document = config.document();
    switch (kind) {
      case "target" ->
          document.ifPresent(
              found ->
                  found
                      .services()
                      .forEach(
                          service -> service.targets().forEach(target -> known.add(target.id()))));
      case "zone" ->
          document.ifPresent(
              found -> found.regions().forEach(region -> known.addAll(region.zones())));
      default -> fleet.members().stream().map(Member::host).forEach(known::add);
    }
    return known;
  }

  // A store that was restored to an older state is written over with a higher generation.
  private Drains newest(Optional<Drains> stored) {
    Drains held = config.drains();
    Drains found = stored.orElse(Drains.NONE);
    return held.generation() > found.generation() ? held : found;
  }

  private static List<String> sorted(Set<String> names) {
    return List.copyOf(new TreeSet<>(names));
  }
}
