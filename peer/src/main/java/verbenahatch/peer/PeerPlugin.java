package verbenahatch.peer;

import java.io.IOException;
import java.util.Set;
import java.util.UUID;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;

/** Provides the {@link PeerLink} of the process with a random incarnation id. */
public final class PeerPlugin implements Plugin {

  @Override
  public String name() {
    return "peer";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(Settings.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(PeerLink.class);
  }

  @Override
  public void start(Kernel kernel) throws PluginException {
    Settings settings = kernel.require(Settings.class);
    PeerAddress listen = new PeerAddress(settings.peers().address(), settings.peers().port());
    NettyPeerLink link;
    try {
      link =
          NettyPeerLink.listen(
              LinkOptions.of(listen, settings.fleetSecret()),
              UUID.randomUUID().toString(),
              kernel.clock(),
              kernel.events(),
              kernel.metrics());
    } catch (IOException e) {
      throw new PluginException(
          "peer port " + listen.port() + " on " + listen.address() + " is taken or not allowed", e);
    }
    kernel.closer().register(link);
    kernel.state().register("peer", link::view);
    kernel.provide(PeerLink.class, link);
  }
}
