package verbenahatch.model;

import java.util.List;
import java.util.Map;

/**
 * Contains the settings of one host.
 *
 * @param host the name of the host, unique in the fleet
 * @param region the region of the host
 * @param zone the availability zone of the host
 * @param environment the environment that the host serves, for example {@code production}
 * @param callers the endpoint for callers
 * @param admin the endpoint for operators
 * @param peers the endpoint for other hosts
 * @param platform access to the platform's object API
 * @param fleetSecret the secret by which hosts authenticate each other, at least 16 characters
 * @param operators the names of operators by SHA-256 hash, in hex, of their credentials
 * @param drainSeconds the longest time a graceful stop waits for requests in flight, in seconds
 * @param adviceSeconds the time to live of entry advice, in seconds
 */
public record Settings(
    String host,
    String region,
    String zone,
    String environment,
    Endpoint callers,
    Endpoint admin,
    Endpoint peers,
    Platform platform,
    String fleetSecret,
    Map<String, String> operators,
    int drainSeconds,
    int adviceSeconds) {

  /** Replaces absent values by empty ones. */
  public Settings {
    host = Defaults.text(host);
    region = Defaults.text(region);
    zone = Defaults.text(zone);
    environment = Defaults.text(environment);
    callers = callers == null ? Endpoint.NONE : callers;
    admin = admin == null ? Endpoint.NONE : admin;
    peers = peers == null ? Endpoint.NONE : peers;
    platform = platform == null ? Platform.NONE : platform;
    fleetSecret = Defaults.text(fleetSecret);
    operators = Defaults.map(operators);
  }

  /** Describes the settings without the secrets. */
  @Override
  public String toString() {
    return "Settings[host=" + host + ", region=" + region + ", zone=" + zone + "]";
  }

  /**
   * Specifies a listening address.
   *
   * @param address the IP address to listen on, which is also announced to other processes
   * @param port the TCP port, 0 for any free port
   */
  public record Endpoint(String address, int port) {

    static final Endpoint NONE = new Endpoint("", -1);

    /** Replaces an absent address by an empty one. */
    public Endpoint {
      address = Defaults.text(address);
    }
  }

  /**
   * Specifies the access to the platform's object API.
   *
   * @param urls the base URLs in order of preference
   * @param timeoutMillis the timeout of one call, in milliseconds
   */
  public record Platform(List<String> urls, int timeoutMillis) {

    static final Platform NONE = new Platform(List.of(), 0);

    /** Replaces an absent list by an empty one. */
    public Platform {
      urls = Defaults.list(urls);
    }
  }
}
