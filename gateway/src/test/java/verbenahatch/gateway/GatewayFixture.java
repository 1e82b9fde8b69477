package verbenahatch.gateway;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Closer;
import verbenahatch.kernel.Events;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Access;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Service;
import verbenahatch.model.EnvironmentDocument.Target;
import verbenahatch.model.EnvironmentDocument.Workspace;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerLink;

/** Runs a gateway with fakes of other modules and with scripted targets. */
final class GatewayFixture implements AutoCloseable {

  static final int ROUTE_TIMEOUT_MILLIS = 2_000;

  final Closer closer = new Closer();
  final Fakes.FakeFleet fleet;
  final Fakes.FakeConfig config = new Fakes.FakeConfig();
  final Fakes.FakeKeys keys = new Fakes.FakeKeys();
  final Fakes.FakeLimits limits = new Fakes.FakeLimits();
  final Fakes.FakeReleases releases = new Fakes.FakeReleases();
  final List<Target> targets = new ArrayList<>();
  volatile List<EnvironmentDocument.ClientBlock> clients = List.of();
  final GatewayServer server;
  final HttpClient http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  GatewayFixture() throws Exception {
    this("entry-1", new FakePeers(), new FakeStore());
  }

  GatewayFixture(String host, FakePeers network, FakeStore store) throws Exception {
    fleet = new Fakes.FakeFleet(host);
    PeerLink peers = network.join(fleet.self());
    server =
        closer.register(
            new GatewayServer(
                new GatewayContext(
                    settings(),
                    fleet,
                    config,
                    keys,
                    limits,
                    releases,
                    peers,
                    store,
                    Clock.system(),
                    Events.none()),
                new PrometheusRegistry()));
  }

  static Settings settings() {
    return new Settings(
        "entry-1",
        "dakar",
        "dakar-a",
        "production",
        new Settings.Endpoint("127.0.0.1", 0),
        new Settings.Endpoint("127.0.0.1", 0),
        new Settings.Endpoint("127.0.0.1", 0),
        new Settings.Platform(List.of(), 1_000),
        "0123456789abcdef",
        Map.of(),
        5,
        1);
  }

  GatewayFixture target(ScriptedTarget target, String region) {
    closer.register(target);
    targets.add(
        new Target(
            "t" + targets.size(), region, region + "-a", "127.0.0.1", target.port(), "v1", 3, 330));
    config.apply(document());
    return this;
  }

  EnvironmentDocument document() {
    return new EnvironmentDocument(
        "production",
        targets.size() + 1,
        List.of(
            new Region("dakar", List.of("dakar-a"), 50),
            new Region("thies", List.of("thies-a"), 50)),
        List.of(new Link("dakar", "thies", 280, 35), new Link("thies", "dakar", 280, 35)),
        List.of(new Service("orders", "v1", List.copyOf(targets))),
        List.of(
            route("open", List.of("GET"), "/public", Access.OPEN, true),
            route("proofs", List.of("GET", "PUT"), "/proofs", Access.KEYED, true),
            route("orders", List.of("POST"), "/orders", Access.KEYED, false)),
        List.of(new Workspace("ateliers", 100, 10, 1)),
        List.of(),
        clients);
  }

  private static Route route(
      String name, List<String> methods, String prefix, Access access, boolean idempotent) {
    return new Route(name, "orders", methods, prefix, access, idempotent, ROUTE_TIMEOUT_MILLIS);
  }

  HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
  }

  HttpRequest.Builder keyed(String path) {
    return request(path).header("Authorization", "Bearer " + Fakes.KEY);
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /** Waits, for at most 5 s, until a condition that follows the response to the caller is true. */
  static void awaitCondition(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + 5_000_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition did not become true in 5 s");
      }
      Thread.onSpinWait();
    }
  }

  static String reason(HttpResponse<?> response) {
    return response.headers().firstValue(HeaderNames.REASON).orElse("");
  }

  static String outcome(HttpResponse<?> response) {
    return response.headers().firstValue(HeaderNames.OUTCOME).orElse("");
  }

  @Override
  public void close() throws Exception {
    closer.close();
  }
}
