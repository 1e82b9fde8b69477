package verbenahatch.standins.target;

/**
 * States what a target is; this stays the same while it runs.
 *
 * @param id the name
 * @param address the IP number to listen on
 * @param port the TCP port for work, 0 for any
 * @param controlPort the TCP port for control, 0 for any
 * @param version the version that it runs
 * @param slots the number of requests that run at once
 * @param connections the largest number of connections
 * @param connectMillis the time that a new connection costs, in milliseconds
 */
public record TargetOptions(
    String id,
    String address,
    int port,
    int controlPort,
    String version,
    int slots,
    int connections,
    double connectMillis) {}
