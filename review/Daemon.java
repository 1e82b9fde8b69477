import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts one process of the project with the command of the deploy file. */
final class Daemon implements AutoCloseable {
  final String name;
  final String ip;
  final String front;
  final String ready;
  final String directory;
  private final Path settings;
  private final Path log;
  private final Path repository;
  private int starts;
  Process process;

  /** Values of the settings by the names of the platform, as the platform fills the template in. */
  Daemon(Path repository, Path folder, String name, String ip, Map<String, String> values)
      throws IOException {
    this.repository = repository;
    this.name = name;
    this.ip = ip;
    this.front = values.get("listen.front").replace("\"", "");
    this.ready = values.get("listen.readiness").replace("\"", "");
    this.directory = values.get("listen.directory").replace("\"", "");
    settings = folder.resolve(name + ".settings");
    log = folder.resolve(name + ".log");
    String template = Files.readString(repository.resolve("platform/settings.template"));
    Matcher placeholder = Pattern.compile("\\{\\{([a-z0-9_.-]+)\\|json}}").matcher(template);
    StringBuilder text = new StringBuilder();
    while (placeholder.find()) {
      String value = values.get(placeholder.group(1));
      if (value == null) {
        throw new IOException("no value for " + placeholder.group(1));
      }
      placeholder.appendReplacement(text, Matcher.quoteReplacement(value));
    }
    placeholder.appendTail(text);
    Files.writeString(settings, text.toString());
  }

  void start() throws IOException {
    String deployFile = Files.readString(repository.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(deployFile);
    if (!run.find()) {
      throw new IOException("the deploy file has no run command");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" +")));
    builder.directory(repository.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("VERBENAHATCH_SETTINGS", settings.toString());
    // The platform sets this for the runtimes; without it the C library reserves more memory.
    builder.environment().put("MALLOC_ARENA_MAX", "2");
    File output = log.resolveSibling(log.getFileName() + "." + ++starts).toFile();
    builder.redirectErrorStream(true).redirectOutput(output);
    process = builder.start();
  }

  Path output() {
    return log.resolveSibling(log.getFileName() + "." + starts);
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean isReady() {
    try {
      HttpURLConnection call =
          (HttpURLConnection) new URL("http://" + ready + "/ready").openConnection();
      call.setConnectTimeout(500);
      call.setReadTimeout(500);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
