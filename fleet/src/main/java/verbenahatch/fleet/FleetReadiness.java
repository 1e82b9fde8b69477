package verbenahatch.fleet;

import java.util.HashMap;
import java.util.Map;

/** Derives readiness from membership, freshness and the generations that peers reported. */
final class FleetReadiness {

  private final FleetCore core;
  private final ReplicatedObjects objects;
  private final ConfigHolder config;
  private final HeartbeatPoller poller;

  FleetReadiness(
      FleetCore core, ReplicatedObjects objects, ConfigHolder config, HeartbeatPoller poller) {
    this.core = core;
    this.objects = objects;
    this.config = config;
    this.poller = poller;
  }

  /** Returns what is missing, as text for operators; empty if the host is ready. */
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
    Map<String, Map<String, Long>> reportedGenerations = poller.reportedGenerations();
    int majority = reportedGenerations.size() / 2 + 1;
    Map<String, Integer> hostsAhead = new HashMap<>();
    for (Map<String, Long> generations : reportedGenerations.values()) {
      generations.forEach(
          (name, generation) -> {
            if (objects.isReplicated(name) && generation > objects.generation(name)) {
              hostsAhead.merge(name, 1, Integer::sum);
            }
          });
    }
    for (Map.Entry<String, Integer> entry : hostsAhead.entrySet()) {
      if (entry.getValue() >= majority) {
        return "behind in " + entry.getKey();
      }
    }
    return "";
  }
}
