package verbenahatch.standins.target;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in target as a process until the process is terminated. */
@Command(
    name = "target",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in target until the process is terminated.")
public final class TargetMain implements Callable<Integer> {

  @Option(names = "--id", required = true, description = "Name of the target.")
  private String id = "";

  @Option(names = "--address", defaultValue = "127.0.0.1", description = "IP address to listen on.")
  private String address = "";

  @Option(names = "--port", defaultValue = "0", description = "TCP port for requests, 0 for any.")
  private int port;

  @Option(
      names = "--control-port",
      defaultValue = "0",
      description = "TCP port for control, 0 for any.")
  private int controlPort;

  @Option(names = "--version-name", defaultValue = "v1", description = "Version of the target.")
  private String version = "";

  @Option(
      names = "--slots",
      defaultValue = "3",
      description = "Largest number of running requests.")
  private int slots;

  @Option(
      names = "--connections",
      defaultValue = "330",
      description = "Largest number of connections.")
  private int connections;

  @Option(
      names = "--connect-millis",
      defaultValue = "1",
      description = "Time to accept a connection, in ms.")
  private double connectMillis;

  @Option(names = "--work-millis", defaultValue = "5", description = "Time per request, in ms.")
  private double workMillis;

  @Option(
      names = "--queue",
      defaultValue = "6",
      description = "Largest number of waiting requests.")
  private int queue;

  @Option(
      names = "--cold-millis",
      defaultValue = "0",
      description = "Length of the cold start, in ms.")
  private long coldMillis;

  @Option(
      names = "--cold-factor",
      defaultValue = "3",
      description = "Factor of the request time while cold.")
  private double coldFactor;

  /**
   * Runs the target and exits with the exit code of the command.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new TargetMain()).execute(args));
  }

  @Override
  public Integer call() throws Exception {
    TargetOptions options =
        new TargetOptions(
            id, address, port, controlPort, version, slots, connections, connectMillis);
    Behaviour initialBehaviour =
        new Behaviour(
            workMillis, queue, coldMillis, coldFactor, false, 0, 0, 1, false, java.util.List.of());
    try (TargetServer server = new TargetServer(options, initialBehaviour)) {
      System.out.printf(
          "target %s listens on %d, control on %d%n", id, server.port(), server.controlPort());
      server.join();
    }
    return 0;
  }
}
