package verbenahatch.steering.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds one version of what the operator configured.
 *
 * @param version grows with each version; steps are irregular
 * @param routes the routes of all hosts
 * @param services the services by name
 * @param workspaces the workspaces; empty if requests need no key
 * @param limits what a caller may send
 */
public record SteeringDocument(
    long version,
    List<SteeringRoute> routes,
    Map<String, SteeringService> services,
    List<SteeringWorkspace> workspaces,
    CallerLimits limits) {

  /**
   * Describes where the requests of one host and path prefix go.
   *
   * @param name the name in logs
   * @param host the host of the requests, in lower case, without a port
   * @param pathPrefix begins and ends with a slash
   * @param parts the services, one or more
   * @param idempotent whether a request may run more than once
   * @param timeoutMillis the longest time that a caller is kept waiting
   * @param targetLatencyMillis the time within which an answer is worth most
   * @param priority the rank, 0 is the highest
   * @param maxAttempts the most targets to which a request may be sent
   * @param open whether requests need no key
   * @param allowedRegions the regions in which requests may run; empty if all may
   */
  public record SteeringRoute(
      String name,
      String host,
      String pathPrefix,
      List<RoutePart> parts,
      boolean idempotent,
      long timeoutMillis,
      long targetLatencyMillis,
      int priority,
      int maxAttempts,
      boolean open,
      Set<String> allowedRegions) {}

  /**
   * Holds one part of a route's traffic.
   *
   * @param service the name of the service
   * @param weight the share relative to the sum of all weights of the route
   */
  public record RoutePart(String service, double weight) {}

  /**
   * Describes one service.
   *
   * @param name the name
   * @param maxConnections the connections that a target accepts from all hosts together
   * @param coldStartMillis the time for which a target stays cold
   * @param warmUpPerSecond the requests that a cold target tolerates per second from all hosts
   */
  public record SteeringService(
      String name, int maxConnections, long coldStartMillis, double warmUpPerSecond) {}

  /**
   * Describes one workspace.
   *
   * @param name the name
   * @param keyHashes the hashes of its keys
   * @param priority the rank that replaces the route's; negative if it has none
   * @param ratePerSecond the rate over all hosts; 0 for no limit
   * @param burst the burst over all hosts
   * @param allowedRegions the regions in which its requests may run; empty if all may
   */
  public record SteeringWorkspace(
      String name,
      Set<String> keyHashes,
      int priority,
      double ratePerSecond,
      double burst,
      Set<String> allowedRegions) {}

  /**
   * Bounds what a caller may send.
   *
   * @param maxHeaderBytes the bytes of a request's header
   * @param maxBodyBytes the bytes of a request's body
   * @param headerTimeoutMillis the time for which a header may take
   * @param idleTimeoutMillis the time for which a connection may stay idle
   */
  public record CallerLimits(
      int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
}
