package verbenahatch.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;

class PeerPluginTest {

  private static Kernel kernel(int port) {
    Kernel kernel = new Kernel(Clock.system(), Events.none());
    Settings.Endpoint peers = new Settings.Endpoint("127.0.0.1", port);
    kernel.provide(
        Settings.class,
        new Settings(
            "host-1",
            "region",
            "zone",
            "trial",
            peers,
            peers,
            peers,
            new Settings.Platform(List.of(), 1000),
            "a shared test secret",
            Map.of(),
            10,
            10));
    return kernel;
  }

  /** Guards against an unregistered plug-in, and a port in use reported without a clear error. */
  @Test
  void providesLinkAndReportsPortInUse() throws Exception {
    List<Plugin> plugins =
        ServiceLoader.load(Plugin.class).stream().map(ServiceLoader.Provider::get).toList();
    try (Kernel first = kernel(0)) {
      first.start(plugins);
      int port = first.require(PeerLink.class).localAddress().port();
      assertTrue(first.state().dump().containsKey("peer"));
      try (Kernel second = kernel(port)) {
        PluginException e =
            assertThrows(PluginException.class, () -> second.start(List.of(new PeerPlugin())));
        assertEquals("peer port " + port + " on 127.0.0.1 is taken or not allowed", e.getMessage());
      }
    }
  }
}
