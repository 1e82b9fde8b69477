package verbenahatch.fleet;

import java.util.HashMap;
import java.util.Map;

/** Derives readiness from membership, freshness and the generations that peers reported. */
final class FleetReadiness {

  private final FleetCore core;
  private final ObjectSpread objects;
  private final ConfigHolder config;
  private final PulsePoller poller;

  FleetReadiness(FleetCore core, ObjectSpread objects, ConfigHolder config, PulsePoller poller) {
    this.core = core;
    this.objects = objects;
    this.config = config;
    this.poller = poller;
  }

  /** Tells what is missing; empty if the host is ready. */
  String reason() {
    if (!core.isMember()) {
      return "not a member";
    }
    if (!core.isFresh()) {
      return "not fresh";
    }
    if (config.document().isEmpty()) {
      return "no document";
    }
    Map<String, Map<String, Long>> reported = poller.reported();
    int majority = reported.size() / 2 + 1;
    Map<String, Integer> ahead = new HashMap<>();
    for (Map<String, Long> generations : reported.values()) {
      generations.forEach(
          (name, generation) -> {
            if (objects.covers(name) && generation > objects.generation(name)) {
              ahead.merge(name, 1, Integer::sum);
            }
          });
    }
    for (Map.Entry<String, Integer> entry : ahead.entrySet()) {
      if (entry.getValue() >= majority) {
        return "behind in " + entry.getKey();
      }
    }
    return "";
  }
}
