package verbenahatch.model;

import java.util.List;

/**
 * States where callers may go, which workspaces may call and which releases are planned, for one
 * environment.
 *
 * @param environment the name of the environment
 * @param generation the number of the document; each accepted change has a higher one
 * @param regions the regions and their availability zones
 * @param links the capped links between regions
 * @param services the services and their targets
 * @param routes the routes in order of preference
 * @param workspaces the workspaces that may call
 * @param releases the planned releases
 * @param clients the client blocks and the regions nearest to them
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

  /** Replaces lists and texts that are left out by empty ones. */
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

  /** Tells who may use a route. */
  public enum Access {
    /** Everybody, without a key. */
    OPEN,
    /** A workspace that presents its key. */
    KEYED
  }

  /**
   * Describes a region.
   *
   * @param name the name
   * @param zones the names of its availability zones
   * @param capacity the largest number of requests that its targets may run at once
   */
  public record Region(String name, List<String> zones, int capacity) {
    /** Replaces values that are left out by empty ones. */
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
   * @param megabitsPerSecond the cap in Mbit/s
   * @param oneWayMillis the delay in milliseconds, one way
   */
  public record Link(String from, String to, double megabitsPerSecond, double oneWayMillis) {
    /** Replaces values that are left out by empty ones. */
    public Link {
      from = Defaults.text(from);
      to = Defaults.text(to);
    }
  }

  /**
   * Describes a service.
   *
   * @param name the name
   * @param version the version that carries the traffic
   * @param targets the targets of all versions
   */
  public record Service(String name, String version, List<Target> targets) {
    /** Replaces values that are left out by empty ones. */
    public Service {
      name = Defaults.text(name);
      version = Defaults.text(version);
      targets = Defaults.list(targets);
    }
  }

  /**
   * Describes a target.
   *
   * @param id the name, unique in the environment
   * @param region the region
   * @param zone the availability zone
   * @param address the IP number
   * @param port the TCP port
   * @param version the version that it runs
   * @param slots the number of requests that it runs at once
   * @param connections the largest number of connections that it accepts from all hosts together
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
    /** Replaces values that are left out by empty ones. */
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
   * @param service the service that answers
   * @param methods the HTTP methods
   * @param pathPrefix the start of the path, beginning with a slash
   * @param access who may use it
   * @param idempotent whether a request may run more than once without harm
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
    /** Replaces values that are left out by empty ones; access is keyed unless stated. */
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
   * @param name the name
   * @param ratePerSecond the sustained rate in requests per second, over all hosts together
   * @param burst the number of requests that may come at once above the rate, at least 1
   * @param weight the weight in fair queueing, positive
   */
  public record Workspace(String name, double ratePerSecond, double burst, double weight) {
    /** Replaces values that are left out by empty ones. */
    public Workspace {
      name = Defaults.text(name);
    }
  }

  /**
   * Plans a release.
   *
   * @param id the name, unique for good
   * @param service the service
   * @param fromVersion the version that carries the traffic now
   * @param toVersion the new version
   * @param startAt the earliest start, as an ISO-8601 instant
   * @param deadline the time by which the new version must carry the traffic, as an ISO-8601
   *     instant
   */
  public record Release(
      String id,
      String service,
      String fromVersion,
      String toVersion,
      String startAt,
      String deadline) {
    /** Replaces values that are left out by empty ones. */
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
   * Names a block of client addresses.
   *
   * @param block an IPv4 prefix such as {@code 10.1.0.0/16}
   * @param region the region nearest to it
   */
  public record ClientBlock(String block, String region) {
    /** Replaces values that are left out by empty ones. */
    public ClientBlock {
      block = Defaults.text(block);
      region = Defaults.text(region);
    }
  }
}
