package verbenahatch.standins;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in platform as a process until the process is terminated. */
@Command(
    name = "platform",
    mixinStandardHelpOptions = true,
    description = "Serves a stand-in for the platform's object API and host list on loopback.")
public final class PlatformMain implements Callable<Integer> {

  @Option(
      names = "--port",
      description = "TCP port, 0 for any free port (default: ${DEFAULT-VALUE}).")
  private int port;

  private PlatformMain() {}

  /**
   * Runs the platform and exits with the exit code of the command.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new CommandLine(new PlatformMain()).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    CountDownLatch stopRequested = new CountDownLatch(1);
    PlatformServer server = new PlatformServer(port, new InMemoryObjectStore());
    Runtime.getRuntime().addShutdownHook(new Thread(stopRequested::countDown, "platform-stop"));
    System.out.println("platform ready port=" + server.port());
    stopRequested.await();
    server.close();
    return 0;
  }
}
