package verbenahatch.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Access;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.model.EnvironmentDocument.Workspace;
import verbenahatch.model.KeyHash;
import verbenahatch.model.Settings;
import verbenahatch.model.Settings.Endpoint;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.standins.PlatformServer;
import verbenahatch.standins.target.Behaviour;
import verbenahatch.standins.target.TargetOptions;
import verbenahatch.standins.target.TargetServer;

/** Runs three hosts, six targets and the platform in this process, connected over loopback. */
final class TestFleet implements AutoCloseable {

  static final String TOKEN = "test-operator-token";

  private static final List<String> REGIONS = List.of("dakar", "thies", "saint-louis");
  private static final List<String> SERVICES = List.of("catalogue", "order-desk");
  private static final double WORK_MILLIS = 2;

  final InMemoryObjectStore store = new InMemoryObjectStore();
  final List<TargetServer> targets = new ArrayList<>();
  final List<Host> hosts = new ArrayList<>();
  private final List<Settings> settings = new ArrayList<>();
  private final Closer closer = new Closer();

  TestFleet(double rate, double burst) throws Exception {
    PlatformServer platform = closer.register(new PlatformServer(0, store));
    for (String service : SERVICES) {
      for (String region : REGIONS) {
        TargetOptions options =
            new TargetOptions(service + "-" + region, "127.0.0.1", 0, 0, "v1", 6, 330, 0);
        targets.add(closer.register(new TargetServer(options, Behaviour.healthy(WORK_MILLIS))));
      }
    }
    byte[] document = Json.write(document(1, rate, burst));
    store.put("environment/production", document, 0, "test-document");
    for (String region : REGIONS) {
      startHost(region, platform.url());
    }
  }

  private void startHost(String region, String platformUrl) throws Exception {
    Settings hostSettings =
        new Settings(
            region + "-1",
            region,
            region + "-a",
            "production",
            unusedEndpoint(),
            unusedEndpoint(),
            unusedEndpoint(),
            new Settings.Platform(List.of(platformUrl), 2_000),
            "test-fleet-secret",
            Map.of(KeyHash.of(TOKEN), "tester"),
            5,
            1);
    Host host = new Host(hostSettings, Clock.system(), Events.none());
    hosts.add(closer.register(host));
    settings.add(hostSettings);
    host.start();
  }

  EnvironmentDocument document(long generation, double rate, double burst) {
    List<Service> services = new ArrayList<>();
    for (int serviceIndex = 0; serviceIndex < SERVICES.size(); serviceIndex++) {
      List<Target> serviceTargets = new ArrayList<>();
      for (int regionIndex = 0; regionIndex < REGIONS.size(); regionIndex++) {
        TargetServer server = targets.get(serviceIndex * REGIONS.size() + regionIndex);
        serviceTargets.add(
            new Target(
                server.options().id(),
                REGIONS.get(regionIndex),
                REGIONS.get(regionIndex) + "-a",
                "127.0.0.1",
                server.port(),
                "v1",
                6,
                330));
      }
      services.add(new Service(SERVICES.get(serviceIndex), "v1", serviceTargets));
    }
    return new EnvironmentDocument(
        "production",
        generation,
        REGIONS.stream().map(name -> new Region(name, List.of(name + "-a"), 12)).toList(),
        links(),
        services,
        routes(),
        List.of(new Workspace("north", rate, burst, 1)),
        List.of(),
        List.of());
  }

  private static List<Link> links() {
    List<Link> links = new ArrayList<>();
    for (String from : REGIONS) {
      for (String to : REGIONS) {
        if (!from.equals(to)) {
          links.add(new Link(from, to, 280, 35));
        }
      }
    }
    return links;
  }

  private static List<Route> routes() {
    return List.of(
        new Route("proofs", "catalogue", List.of("GET"), "/catalogue", Access.OPEN, true, 5_000),
        new Route("orders", "order-desk", List.of("GET"), "/orders", Access.KEYED, true, 5_000),
        new Route(
            "deposits", "order-desk", List.of("POST"), "/deposits", Access.KEYED, false, 5_000));
  }

  String entry(int host) {
    return "http://127.0.0.1:" + settings.get(host).callers().port();
  }

  String admin(int host) {
    return "http://127.0.0.1:" + settings.get(host).admin().port();
  }

  private static Endpoint unusedEndpoint() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new Endpoint("127.0.0.1", socket.getLocalPort());
    }
  }

  @Override
  public void close() throws Exception {
    // Each graceful stop waits until cached entry advice has expired, so the hosts stop in
    // parallel.
    hosts.parallelStream().forEach(Host::close);
    closer.close();
  }
}
