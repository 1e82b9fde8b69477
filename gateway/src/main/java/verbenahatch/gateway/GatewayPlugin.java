package verbenahatch.gateway;

import java.util.Map;
import java.util.Set;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.limits.Limits;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerLink;
import verbenahatch.release.Releases;
import verbenahatch.store.ObjectStore;

/** Plug-in that starts the callers' endpoint. */
public final class GatewayPlugin implements Plugin {

  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(
        Settings.class,
        Fleet.class,
        ConfigView.class,
        Keys.class,
        Limits.class,
        Releases.class,
        PeerLink.class,
        ObjectStore.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(GatewayServer.class);
  }

  @Override
  public void start(Kernel kernel) throws PluginException {
    GatewayContext context =
        new GatewayContext(
            kernel.require(Settings.class),
            kernel.require(Fleet.class),
            kernel.require(ConfigView.class),
            kernel.require(Keys.class),
            kernel.require(Limits.class),
            kernel.require(Releases.class),
            kernel.require(PeerLink.class),
            kernel.require(ObjectStore.class),
            kernel.clock(),
            kernel.events());
    try {
      GatewayServer server = new GatewayServer(context, kernel.metrics());
      kernel.closer().register(server::stopGracefully);
      kernel.provide(GatewayServer.class, server);
      kernel
          .state()
          .register(
              "gateway",
              () ->
                  Map.of(
                      "port", server.port(),
                      "running", server.inFlight(),
                      "draining", server.isDraining()));
    } catch (Exception e) {
      throw new PluginException("callers' endpoint cannot be opened", e);
    }
  }
}
