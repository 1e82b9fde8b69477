package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.ManualClock;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.standins.InMemoryObjectStore;
import verbenahatch.store.ObjectStore;

class FleetPluginTest {

  private static Settings settings() {
    Settings.Endpoint any = new Settings.Endpoint("127.0.0.1", 1);
    return new Settings(
        "a",
        "north",
        "north-1",
        FleetSimulation.ENV,
        any,
        any,
        any,
        new Settings.Platform(List.of(), 1_000),
        "secret",
        Map.of(),
        1,
        1);
  }

  /** Guards against a plug-in that does not join, become ready or leave on its own threads. */
  @Test
  void pluginJoinsAndLeavesByItself() throws Exception {
    InMemoryObjectStore store = new InMemoryObjectStore();
    store.put("environment/" + FleetSimulation.ENV, FleetSimulation.document(1), 0, "w1");
    Kernel kernel = new Kernel(Clock.system(), Events.none());
    FakePeerNetwork network = new FakePeerNetwork(new ManualClock(), 1);
    kernel.provide(Settings.class, settings());
    kernel.provide(ObjectStore.class, store);
    kernel.provide(PeerLink.class, network.open(new PeerAddress("127.0.0.1", 7), "first"));
    kernel.start(List.of(new FleetPlugin()));
    CountDownLatch ready = new CountDownLatch(1);
    kernel.repeat(
        "test",
        Duration.ofMillis(20),
        () -> {
          if (kernel.readiness().isReady()) {
            ready.countDown();
          }
        });
    assertTrue(ready.await(10, TimeUnit.SECONDS), () -> "" + kernel.readiness().unmet());
    assertEquals(1, kernel.require(Fleet.class).members().size());
    String dump = new String(Json.write(kernel.state().dump()), StandardCharsets.UTF_8);
    assertTrue(dump.contains("\"epoch\":1"), dump);
    assertTrue(kernel.metrics().scrape().stream().anyMatch(m -> isFresh(m.getMetadata())));
    kernel.close();
    byte[] left = store.get(MembersRecord.NAME).get().value();
    assertEquals(List.of(), MembersRecord.read(left).members());
  }

  private static boolean isFresh(io.prometheus.metrics.model.snapshots.MetricMetadata metadata) {
    return metadata.getName().equals("verbenahatch_fleet_fresh");
  }
}
