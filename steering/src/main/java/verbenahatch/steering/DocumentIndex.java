package verbenahatch.steering;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.model.KeyHash;
import verbenahatch.steering.model.SteeringDocument;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/**
 * Finds routes and workspaces of one document.
 *
 * <p>Immutable except for the sequences that distribute the requests of split routes.
 */
final class DocumentIndex {

  final SteeringDocument document;
  private final Map<String, List<SteeringRoute>> byHost = new HashMap<>();
  private final Map<String, SteeringWorkspace> byKeyHash = new HashMap<>();
  private final Map<String, LowDiscrepancySequence> sequences = new HashMap<>();

  DocumentIndex(SteeringDocument document) {
    this.document = document;
    for (SteeringRoute route : document.routes()) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
      if (route.parts().size() > 1) {
        sequences.put(route.name(), new LowDiscrepancySequence(Hashing.of(route.name()) >>> 40));
      }
    }
    Comparator<SteeringRoute> longestFirst =
        Comparator.comparingInt((SteeringRoute route) -> route.pathPrefix().length()).reversed();
    byHost.values().forEach(list -> list.sort(longestFirst));
    for (SteeringWorkspace workspace : document.workspaces()) {
      workspace.keyHashes().forEach(hash -> byKeyHash.put(hash, workspace));
    }
  }

  /** Returns the route of a host name with the longest matching prefix, null if none matches. */
  @Nullable SteeringRoute route(String host, String path) {
    for (SteeringRoute route : byHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return route;
      }
    }
    return null;
  }

  /** Returns the workspace that a key belongs to, null if the key belongs to none. */
  @Nullable SteeringWorkspace workspace(String key) {
    return byKeyHash.get(KeyHash.of(key));
  }

  boolean needsKeys() {
    return !document.workspaces().isEmpty();
  }

  /**
   * Returns the service for the next request of a route.
   *
   * <p>The choice follows an even sequence, so that the requests are split by the weights of the
   * parts also over few requests.
   */
  String nextService(SteeringRoute route) {
    LowDiscrepancySequence sequence = sequences.get(route.name());
    return service(route, sequence == null ? 0 : sequence.next());
  }

  /** Returns the service that the next request of a route would get, and draws nothing. */
  String peekService(SteeringRoute route) {
    LowDiscrepancySequence sequence = sequences.get(route.name());
    return service(route, sequence == null ? 0 : sequence.peek());
  }

  private static String service(SteeringRoute route, double position) {
    List<RoutePart> parts = route.parts();
    if (parts.size() == 1) {
      return parts.get(0).service();
    }
    double sum = 0;
    for (RoutePart part : parts) {
      sum += part.weight();
    }
    double point = position * sum;
    for (RoutePart part : parts) {
      point -= part.weight();
      if (point < 0) {
        return part.service();
      }
    }
    return parts.get(parts.size() - 1).service();
  }
}
