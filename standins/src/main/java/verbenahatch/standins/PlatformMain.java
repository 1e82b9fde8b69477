package verbenahatch.standins;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in platform as a process until it is stopped. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description = "Serves the stand-in object API and list of hosts on loopback.")
public final class PlatformMain implements Callable<Integer> {

  @Option(
      names = "--port",
      description = "TCP port, 0 for any free port (default: ${DEFAULT-VALUE}).")
  private int port;

  private PlatformMain() {}

  /**
   * Starts the process.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new PlatformMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    CountDownLatch stop = new CountDownLatch(1);
    PlatformServer server = new PlatformServer(port, new InMemoryObjectStore());
    Runtime.getRuntime().addShutdownHook(new Thread(stop::countDown, "platform-stop"));
    System.out.println("platform ready port=" + server.port());
    stop.await();
    server.close();
    return 0;
  }
}
