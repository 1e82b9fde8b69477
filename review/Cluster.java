import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;

/** A small deployment on loopback: a store, instances and processes of the project. */
final class Cluster implements AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final Path repository = Path.of(System.getProperty("repository")).toAbsolutePath();
  final Path folder = Files.createTempDirectory("review");
  final Store store;
  final List<Instance> instances = new ArrayList<>();
  final List<Daemon> daemons = new ArrayList<>();
  final ConcurrentLinkedQueue<Instance.Run> runs = new ConcurrentLinkedQueue<>();
  final StringBuffer record = new StringBuffer();
  final long startNanos = System.nanoTime();
  private final String net;
  private final ArrayNode resources = Store.JSON.createArrayNode();

  Cluster() throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    net = "127." + random.nextInt(2, 250) + "." + random.nextInt(2, 250) + ".";
    store = new Store(net + "1");
    Runtime.getRuntime().addShutdownHook(new Thread(() -> daemons.forEach(Daemon::close)));
  }

  /** Adds a line on one request to the record only. */
  void detail(Client.Sent sent) {
    Instance.Run run = runOf(sent.id);
    record.append(
        String.format(
            Locale.ROOT,
            "  request %s %s to %s sent %.3f, %s %d at %.3f, %s%n",
            sent.id,
            sent.line,
            sent.front,
            seconds(sent.sentNanos),
            sent.end,
            sent.status,
            seconds(sent.endNanos),
            run == null
                ? "not run"
                : "run by "
                    + run.instance
                    + String.format(Locale.ROOT, " at %.3f: ", seconds(run.startNanos))
                    + run.outcome));
  }

  double seconds(long nanos) {
    return (nanos - startNanos) / 1e9;
  }

  void note(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", seconds(System.nanoTime()), text);
    record.append(line).append('\n');
    System.out.println(line);
  }

  void route(
      String name, String prefix, String kind, String timeout, String service, int attempts) {
    ObjectNode entry = resource("routes", name);
    entry
        .put("host", "orders.example")
        .put("path-prefix", prefix)
        .put("kind", kind)
        .put("timeout", timeout)
        .put("target-latency", "800ms")
        .put("priority", 1)
        .put("service", service)
        .put("max-attempts", attempts)
        .put("anonymous", true)
        .put("sticky", false)
        .putArray("allowed-regions");
  }

  void service(String name) {
    resource("services", name)
        .put("health-path", "/health")
        .put("max-connections", 330)
        .put("protocol", "h1")
        .put("tls", false)
        .put("cold-start", "3s")
        .put("warmup-per-s", 6.9);
  }

  void limits(String idleTimeout) {
    for (int i = resources.size() - 1; i >= 0; i--) {
      if (resources.get(i).path("type").asText().equals("limits")) {
        resources.remove(i);
      }
    }
    resource("limits", null)
        .put("max-header-bytes", 16384)
        .put("max-body-bytes", 67108864)
        .put("header-timeout", "3000ms")
        .put("idle-timeout", idleTimeout);
  }

  private ObjectNode resource(String type, String name) {
    ObjectNode entry = resources.addObject();
    entry.put("type", type);
    ObjectNode metadata = entry.putObject("metadata");
    if (name != null) {
      metadata.put("name", name);
    }
    return entry.putObject("spec");
  }

  void writeConfig(String version) {
    ObjectNode spec = Store.JSON.createObjectNode();
    spec.put("version", version);
    spec.set("resources", resources.deepCopy());
    store.write("config", "main", spec);
    note("configuration " + version + " acknowledged");
  }

  void instances(String service, int count, int slots, Function<Http.Message, Integer> work)
      throws IOException {
    for (int i = 0; i < count; i++) {
      instances.add(
          new Instance(
              "i-" + service + i,
              service,
              net + (100 + instances.size()),
              zone(i),
              slots,
              store,
              runs,
              work));
    }
  }

  private static String zone(int index) {
    return index % 2 == 0 ? "dakar-plateau" : "dakar-pikine";
  }

  void daemons(int count) throws IOException {
    List<String> ips = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ips.add(net + (10 + i));
    }
    int[] ports = new int[5];
    for (int i = 0; i < ports.length; i++) {
      ports[i] = freePort(ports);
    }
    List<String> seeds = new ArrayList<>();
    for (String ip : ips.subList(0, Math.min(3, count))) {
      seeds.add("\"" + ip + ":" + ports[3] + "\"");
    }
    for (int i = 0; i < count; i++) {
      Map<String, String> values = new HashMap<>();
      String name = "front-" + zone(i) + "-" + (i / 2 + 1);
      values.put("node-name", "\"" + name + "\"");
      values.put("zone", "\"" + zone(i) + "\"");
      values.put("region", "\"dakar\"");
      values.put("ip", "\"" + ips.get(i) + "\"");
      values.put("listen.front", "\"" + ips.get(i) + ":" + ports[0] + "\"");
      values.put("listen.readiness", "\"" + ips.get(i) + ":" + ports[1] + "\"");
      values.put("listen.directory", "\"" + ips.get(i) + ":" + ports[2] + "\"");
      values.put("internal-ports.0", Integer.toString(ports[4]));
      values.put("platform.address", "\"" + store.address() + "\"");
      values.put("seeds", "[" + String.join(",", seeds) + "]");
      values.put("zones", "{\"dakar-plateau\":\"dakar\",\"dakar-pikine\":\"dakar\"}");
      values.put("bootstrap", "true");
      values.put("bounds.grace", "\"6s\"");
      values.put("bounds.ttl_max", "\"5s\"");
      values.put("bounds.quota-window", "\"5s\"");
      values.put("bounds.quota-overshoot", "0.1");
      values.put("bounds.quota-slack", "20");
      values.put("bounds.max-region-shift", "0.15");
      values.put("bounds.retry-budget-ratio", "0.2");
      values.put("bounds.budget-slack", "56");
      values.put("bounds.canary-share", "0.1");
      values.put("bounds.canary-slack", "50");
      daemons.add(new Daemon(repository, folder, name, ips.get(i), values));
    }
  }

  /** Returns a port below those of outgoing connections that is free at all addresses. */
  private static int freePort(int[] taken) {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      boolean isTaken = false;
      for (int other : taken) {
        isTaken |= other == port;
      }
      if (isTaken) {
        continue;
      }
      try (ServerSocket probe = new ServerSocket(port)) {
        return probe.getLocalPort();
      } catch (IOException e) {
        // Another process uses the port.
      }
    }
  }

  /**
   * Starts all processes and waits until they are ready; ends with 2 if they don't become ready.
   */
  void startAll() throws Exception {
    for (Daemon daemon : daemons) {
      daemon.start();
    }
    for (Daemon daemon : daemons) {
      if (!daemon.awaitReady(20_000)) {
        note(daemon.name + " did not become ready");
        finish(2);
      }
    }
    note(daemons.size() + " processes are ready");
  }

  Instance.Run runOf(String id) {
    for (Instance.Run run : runs) {
      if (id.equals(run.id())) {
        return run;
      }
    }
    return null;
  }

  int runCount(String id) {
    int count = 0;
    for (Instance.Run run : runs) {
      if (id.equals(run.id())) {
        count++;
      }
    }
    return count;
  }

  /** Writes the record, ends all processes and exits. */
  void finish(int code) throws IOException {
    note("exit code " + code);
    close();
    Files.writeString(Path.of(System.getProperty("record")), record.toString());
    // A virtual machine exits with 1 after an exception, so that a broken rule needs another code.
    Runtime.getRuntime().halt(code == 1 ? 10 : code);
  }

  @Override
  public void close() throws IOException {
    for (Daemon daemon : daemons) {
      daemon.close();
    }
    for (Instance instance : instances) {
      instance.close();
    }
    store.close();
  }
}
