package verbenahatch.steering.model;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds one version of the operator's configuration.
 *
 * @param version increases with each version, by irregular steps
 * @param routes the routes of all hosts
 * @param services the services by name
 * @param workspaces the workspaces; empty if requests need no key
 * @param limits the limits on what a caller may send
 */
public record SteeringDocument(
    long version,
    List<SteeringRoute> routes,
    Map<String, SteeringService> services,
    List<SteeringWorkspace> workspaces,
    CallerLimits limits) {

  /**
   * Describes the services that receive the requests of one host and path prefix.
   *
   * @param name the name used in logs
   * @param host the host that the requests name, in lower case, without a port
   * @param pathPrefix begins and ends with a slash
   * @param parts the services with their weights, one or more
   * @param idempotent whether a request may run more than once
   * @param timeoutMillis the maximum time in milliseconds for which a caller waits
   * @param targetLatencyMillis the time in milliseconds within which a response has its full value
   * @param priority the priority; 0 is the highest
   * @param maxAttempts the maximum number of targets to which a request may be sent
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
   * Describes a service that receives a portion of a route's traffic.
   *
   * @param service the name of the service
   * @param weight the portion, relative to the sum of all weights of the route
   */
  public record RoutePart(String service, double weight) {}

  /**
   * Describes one service.
   *
   * @param name the name
   * @param maxConnections the maximum number of connections that a target accepts from all hosts
   *     together
   * @param coldStartMillis the time in milliseconds for which a target stays cold
   * @param warmUpPerSecond the requests per second that a cold target tolerates from all hosts
   *     together
   */
  public record SteeringService(
      String name, int maxConnections, long coldStartMillis, double warmUpPerSecond) {}

  /**
   * Describes one workspace.
   *
   * @param name the name
   * @param keyHashes the hashes of its keys
   * @param priority the priority that replaces the route's; negative if it has none
   * @param ratePerSecond the rate over all hosts in requests per second; 0 for no limit
   * @param burst the burst over all hosts in requests
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
   * Limits what a caller may send.
   *
   * @param maxHeaderBytes the maximum size of a request's header in bytes
   * @param maxBodyBytes the maximum size of a request's body in bytes
   * @param headerTimeoutMillis the maximum time in milliseconds until a header is complete
   * @param idleTimeoutMillis the maximum time in milliseconds for which a connection may be idle
   */
  public record CallerLimits(
      int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
}
