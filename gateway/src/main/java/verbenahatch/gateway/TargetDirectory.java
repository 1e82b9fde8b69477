package verbenahatch.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Drains;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.routing.TargetLoad;

/**
 * Holds the targets of the document in force and chooses among them.
 *
 * <p>A document replaces the table as a whole; readers take no lock. Counts of a target survive a
 * new document.
 */
final class TargetDirectory {

  private final String ownRegion;
  private volatile Table table = new Table(Map.of(), Map.of(), List.of());

  TargetDirectory(String ownRegion) {
    this.ownRegion = ownRegion;
  }

  private record Table(
      Map<String, TargetLoad> byId, Map<String, List<TargetLoad>> byService, List<String> order) {}

  synchronized void update(EnvironmentDocument document) {
    Map<String, TargetLoad> byId = new HashMap<>();
    Map<String, List<TargetLoad>> byService = new HashMap<>();
    for (Service service : document.services()) {
      List<TargetLoad> loads = new ArrayList<>();
      for (Target target : service.targets()) {
        TargetLoad load = table.byId().get(target.id());
        if (load == null || !sameProcess(load.target(), target)) {
          load = new TargetLoad(target);
        }
        load.update(target);
        byId.put(target.id(), load);
        loads.add(load);
      }
      byService.put(service.name(), List.copyOf(loads));
    }
    table = new Table(Map.copyOf(byId), Map.copyOf(byService), order(document));
  }

  private static boolean sameProcess(Target a, Target b) {
    return a.address().equals(b.address())
        && a.port() == b.port()
        && a.version().equals(b.version());
  }

  private List<String> order(EnvironmentDocument document) {
    Map<String, Double> delay = new HashMap<>();
    for (Link link : document.links()) {
      if (link.from().equals(ownRegion)) {
        delay.put(link.to(), link.oneWayMillis());
      }
    }
    delay.put(ownRegion, -1.0);
    return document.regions().stream()
        .map(Region::name)
        .sorted(Comparator.comparingDouble(name -> delay.getOrDefault(name, Double.MAX_VALUE)))
        .toList();
  }

  /**
   * Returns the regions, nearest first.
   *
   * @return an immutable list that starts with the own region
   */
  List<String> regions() {
    return table.order();
  }

  /**
   * Tells whether any target of a service and version may get work.
   *
   * @return false if all are draining or there is none
   */
  boolean hasTarget(String service, String version, Drains drains) {
    for (TargetLoad load : table.byService().getOrDefault(service, List.of())) {
      if (load.target().version().equals(version) && !isDraining(load.target(), drains)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Takes a place at the least used target.
   *
   * @return the target, null if each is full, draining or excluded
   */
  @Nullable TargetLoad acquire(
      String service, String version, String region, Drains drains, Set<String> excluded) {
    while (true) {
      TargetLoad best = null;
      for (TargetLoad load : table.byService().getOrDefault(service, List.of())) {
        Target target = load.target();
        if (target.version().equals(version)
            && target.region().equals(region)
            && !excluded.contains(target.id())
            && !isDraining(target, drains)
            && load.inFlight() < target.slots()
            && (best == null || load.use() < best.use())) {
          best = load;
        }
      }
      if (best == null || best.tryAcquire(best.target().slots())) {
        return best;
      }
    }
  }

  private static boolean isDraining(Target target, Drains drains) {
    return drains.targets().contains(target.id()) || drains.zones().contains(target.zone());
  }
}
