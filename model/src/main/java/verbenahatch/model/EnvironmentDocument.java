package verbenahatch.model;

import java.util.List;

/**
 * Defines which services callers may reach, which workspaces may send requests and which releases
 * are planned, for one environment.
 *
 * @param environment the name of the environment
 * @param generation the generation number of the document, increased by each accepted change
 * @param regions the regions and their availability zones
 * @param links the links between regions, each with a bandwidth limit
 * @param services the services and their targets
 * @param routes the routes in order of preference
 * @param workspaces the workspaces that may send requests
 * @param releases the planned releases
 * @param clients the client address blocks, each with its nearest region
 */
public record EnvironmentDocument(
    String environment,
    long generation,
    List<Region> regions,
    List<Link> links,
    List<Service> services,
    List<Route> routes,
    List<Workspace> workspaces,
    List<Release> releases,
    List<ClientBlock> clients) {

  /** Replaces absent lists and texts by empty ones. */
  public EnvironmentDocument {
    environment = Defaults.text(environment);
    regions = Defaults.list(regions);
    links = Defaults.list(links);
    services = Defaults.list(services);
    routes = Defaults.list(routes);
    workspaces = Defaults.list(workspaces);
    releases = Defaults.list(releases);
    clients = Defaults.list(clients);
  }

  /** Specifies who may use a route. */
  public enum Access {
    /** Any caller, without a key. */
    OPEN,
    /** A workspace that presents its key. */
    KEYED
  }

  /**
   * Describes a region.
   *
   * @param name the name of the region
   * @param zones the names of its availability zones
   * @param capacity the maximum number of requests that its targets may run concurrently
   */
  public record Region(String name, List<String> zones, int capacity) {
    /** Replaces absent values by empty ones. */
    public Region {
      name = Defaults.text(name);
      zones = Defaults.list(zones);
    }
  }

  /**
   * Describes the link from one region to another.
   *
   * @param from the sending region
   * @param to the receiving region
   * @param megabitsPerSecond the bandwidth limit in Mbit/s
   * @param oneWayMillis the one-way delay in milliseconds
   */
  public record Link(String from, String to, double megabitsPerSecond, double oneWayMillis) {
    /** Replaces absent values by empty ones. */
    public Link {
      from = Defaults.text(from);
      to = Defaults.text(to);
    }
  }

  /**
   * Describes a service.
   *
   * @param name the name of the service
   * @param version the version that receives the traffic
   * @param targets the targets of all versions
   */
  public record Service(String name, String version, List<Target> targets) {
    /** Replaces absent values by empty ones. */
    public Service {
      name = Defaults.text(name);
      version = Defaults.text(version);
      targets = Defaults.list(targets);
    }
  }

  /**
   * Describes a target.
   *
   * @param id the id, unique in the environment
   * @param region the region of the target
   * @param zone the availability zone of the target
   * @param address the IP address of the target
   * @param port the TCP port of the target
   * @param version the version of the service that it runs
   * @param slots the number of requests that it can run concurrently
   * @param connections the maximum number of connections that it accepts from all hosts together
   */
  public record Target(
      String id,
      String region,
      String zone,
      String address,
      int port,
      String version,
      int slots,
      int connections) {
    /** Replaces absent values by empty ones. */
    public Target {
      id = Defaults.text(id);
      region = Defaults.text(region);
      zone = Defaults.text(zone);
      address = Defaults.text(address);
      version = Defaults.text(version);
    }
  }

  /**
   * Describes a route.
   *
   * @param name the name, unique in the environment
   * @param service the service that handles the requests
   * @param methods the HTTP methods that the route accepts
   * @param pathPrefix the prefix of the path, beginning with a slash
   * @param access who may use the route
   * @param idempotent whether a request may be executed more than once without harm
   * @param timeoutMillis the longest time a request may take, in milliseconds
   */
  public record Route(
      String name,
      String service,
      List<String> methods,
      String pathPrefix,
      Access access,
      boolean idempotent,
      int timeoutMillis) {
    /** Replaces absent values by empty ones, an absent access by {@link Access#KEYED}. */
    public Route {
      name = Defaults.text(name);
      service = Defaults.text(service);
      methods = Defaults.list(methods);
      pathPrefix = Defaults.text(pathPrefix);
      access = access == null ? Access.KEYED : access;
    }
  }

  /**
   * Describes a workspace.
   *
   * @param name the name of the workspace
   * @param ratePerSecond the sustained rate in requests per second, over all hosts together
   * @param burst the number of requests that may arrive at once above the rate, at least 1
   * @param weight the weight in fair queueing, positive
   */
  public record Workspace(String name, double ratePerSecond, double burst, double weight) {
    /** Replaces absent values by empty ones. */
    public Workspace {
      name = Defaults.text(name);
    }
  }

  /**
   * Describes a planned release.
   *
   * @param id the id, never reused for another release
   * @param service the service that is released
   * @param fromVersion the version that receives the traffic before the release
   * @param toVersion the new version
   * @param startAt the earliest start, as an ISO-8601 instant
   * @param deadline the time by which the new version must receive the traffic, as an ISO-8601
   *     instant
   */
  public record Release(
      String id,
      String service,
      String fromVersion,
      String toVersion,
      String startAt,
      String deadline) {
    /** Replaces absent values by empty ones. */
    public Release {
      id = Defaults.text(id);
      service = Defaults.text(service);
      fromVersion = Defaults.text(fromVersion);
      toVersion = Defaults.text(toVersion);
      startAt = Defaults.text(startAt);
      deadline = Defaults.text(deadline);
    }
  }

  /**
   * Assigns a block of client addresses to a region.
   *
   * @param block an IPv4 prefix such as {@code 10.1.0.0/16}
   * @param region the region nearest to it
   */
  public record ClientBlock(String block, String region) {
    /** Replaces absent values by empty ones. */
    public ClientBlock {
      block = Defaults.text(block);
      region = Defaults.text(region);
    }
  }
}
