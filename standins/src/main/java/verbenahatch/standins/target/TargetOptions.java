package verbenahatch.standins.target;

/**
 * Holds the options of a target, which do not change while it runs.
 *
 * @param id the name of the target
 * @param address the IP address to listen on
 * @param port the TCP port for requests, 0 for any free port
 * @param controlPort the TCP port for control, 0 for any free port
 * @param version the version of the service that the target runs
 * @param slots the largest number of requests that run at the same time
 * @param connections the largest number of open connections
 * @param connectMillis the time for which a new connection occupies the thread that opens
 *     connections, in milliseconds
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
