package verbenahatch.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.PluginException;
import verbenahatch.kernel.Result;
import verbenahatch.model.Fault;
import verbenahatch.model.Settings;
import verbenahatch.model.SettingsChecks;

/**
 * Runs an entry host.
 *
 * <p>Exit codes: 0 after a graceful stop, 1 if the host cannot start, 2 for faults in the command
 * line or the settings.
 */
@Command(
    name = "verbenahatchd",
    mixinStandardHelpOptions = true,
    version = "verbenahatchd 0.1.0",
    description = "Runs an entry host of verbenahatch until SIGTERM stops it gracefully.")
public final class DaemonMain implements Callable<Integer> {

  private static final int EXIT_CANNOT_START = 1;
  private static final int EXIT_BAD_SETTINGS = 2;

  @Option(
      names = "--settings",
      paramLabel = "FILE",
      description = "JSON with comments; docs/settings.md lists each setting.")
  private @Nullable Path settingsFile;

  @Option(
      names = "--check-settings",
      paramLabel = "FILE",
      description = "Checks a settings file, lists every fault and exits.")
  private @Nullable Path checkFile;

  @Spec private @Nullable CommandSpec spec;

  private DaemonMain() {}

  /**
   * Runs the host until it has stopped and exits with the exit code unless it is 0.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    int code = execute(args);
    if (code != 0) {
      System.exit(code);
    }
  }

  static int execute(String... args) {
    return new CommandLine(new DaemonMain()).execute(args);
  }

  @Override
  public Integer call() throws InterruptedException {
    if (checkFile != null) {
      return check(checkFile);
    }
    if (settingsFile == null) {
      err().println("verbenahatchd: give --settings FILE or --check-settings FILE");
      return EXIT_BAD_SETTINGS;
    }
    Result<Settings, List<Fault>> settings = read(settingsFile);
    if (!settings.isOk()) {
      settings.error().forEach(fault -> err().println("verbenahatchd: " + fault));
      return EXIT_BAD_SETTINGS;
    }
    return run(settings.get());
  }

  private int check(Path file) {
    Result<Settings, List<Fault>> settings = read(file);
    if (settings.isOk()) {
      out().println("settings ok: " + settings.get());
      return 0;
    }
    settings.error().forEach(fault -> out().println(fault));
    return EXIT_BAD_SETTINGS;
  }

  private static Result<Settings, List<Fault>> read(Path file) {
    try {
      return SettingsChecks.read(Files.readAllBytes(file));
    } catch (IOException e) {
      return Result.err(List.of(new Fault(file.toString(), e.toString(), "a readable file")));
    }
  }

  private int run(Settings settings) throws InterruptedException {
    Events events = Events.tinylog();
    Host host = new Host(settings, Clock.system(), events);
    CountDownLatch stopped = new CountDownLatch(1);
    Thread shutdownHook = new Thread(() -> stop(host, stopped), "verbenahatch-stop");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      host.start();
    } catch (PluginException | RuntimeException e) {
      err().println("verbenahatchd: cannot start: " + e.getMessage());
      return EXIT_CANNOT_START;
    }
    out().println("verbenahatchd: host " + settings.host() + " started");
    out().flush();
    stopped.await();
    return 0;
  }

  private static void stop(Host host, CountDownLatch stopped) {
    host.close();
    stopped.countDown();
  }

  private PrintWriter out() {
    return commandLine().getOut();
  }

  private PrintWriter err() {
    return commandLine().getErr();
  }

  private CommandLine commandLine() {
    if (spec == null) {
      throw new IllegalStateException("not started through the command line");
    }
    return spec.commandLine();
  }
}
