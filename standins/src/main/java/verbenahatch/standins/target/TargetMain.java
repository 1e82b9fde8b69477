package verbenahatch.standins.target;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in target as a process. */
@Command(
    name = "target",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in target until the process is ended.")
public final class TargetMain implements Callable<Integer> {

  @Option(names = "--id", required = true, description = "Name of the target.")
  private String id = "";

  @Option(names = "--address", defaultValue = "127.0.0.1", description = "IP number to listen on.")
  private String address = "";

  @Option(names = "--port", defaultValue = "0", description = "TCP port for work.")
  private int port;

  @Option(names = "--control-port", defaultValue = "0", description = "TCP port for control.")
  private int controlPort;

  @Option(names = "--version-name", defaultValue = "v1", description = "Version that it runs.")
  private String version = "";

  @Option(names = "--slots", defaultValue = "3", description = "Requests that run at once.")
  private int slots;

  @Option(names = "--connections", defaultValue = "330", description = "Most connections.")
  private int connections;

  @Option(names = "--connect-millis", defaultValue = "1", description = "Cost per connection.")
  private double connectMillis;

  @Option(names = "--work-millis", defaultValue = "5", description = "Time per request.")
  private double workMillis;

  @Option(names = "--queue", defaultValue = "6", description = "Requests that wait for a slot.")
  private int queue;

  @Option(names = "--cold-millis", defaultValue = "0", description = "Length of the cold start.")
  private long coldMillis;

  @Option(names = "--cold-factor", defaultValue = "3", description = "Slowness while cold.")
  private double coldFactor;

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new TargetMain()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    TargetOptions options =
        new TargetOptions(
            id, address, port, controlPort, version, slots, connections, connectMillis);
    Behaviour first =
        new Behaviour(
            workMillis, queue, coldMillis, coldFactor, false, 0, 0, 1, false, java.util.List.of());
    try (TargetServer server = new TargetServer(options, first)) {
      System.out.printf(
          "target %s listens on %d, control on %d%n", id, server.port(), server.controlPort());
      server.join();
    }
    return 0;
  }
}
