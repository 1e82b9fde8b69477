package verbenahatch.admin.testing;

import java.util.List;
import java.util.Map;
import verbenahatch.admin.AdminPlugin;
import verbenahatch.admin.AdminServer;
import verbenahatch.fleet.FleetPlugin;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.ManualClock;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.KeyHash;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.testing.FakePeerNetwork;
import verbenahatch.store.ObjectStore;

/** Runs the fleet plug-in and the administration API of one host without peers on loopback. */
public final class SingleHost implements AutoCloseable {

  /** Bearer token of the operator {@code amina}. */
  public static final String TOKEN = "amina-token-for-tests";

  private final Kernel kernel = new Kernel(Clock.system(), Events.none());

  /**
   * Starts the host.
   *
   * @param store the store; closing the host does not close it
   * @throws PluginException if a plug-in cannot start
   */
  public SingleHost(ObjectStore store) throws PluginException {
    PeerAddress address = new PeerAddress("127.0.0.1", 7000);
    PeerLink link = new FakePeerNetwork(new ManualClock(), 1).open(address, "incarnation-1");
    kernel.provide(Settings.class, settings());
    kernel.provide(ObjectStore.class, store);
    kernel.provide(PeerLink.class, link);
    kernel.start(List.of(new AdminPlugin(), new FleetPlugin()));
  }

  private static Settings settings() {
    return new Settings(
        "dakar-a",
        "dakar",
        "dakar-a",
        "production",
        new Settings.Endpoint("127.0.0.1", 7001),
        new Settings.Endpoint("127.0.0.1", 0),
        new Settings.Endpoint("127.0.0.1", 7000),
        new Settings.Platform(List.of("http://127.0.0.1:7002"), 1_000),
        "secret-between-hosts",
        Map.of(KeyHash.of(TOKEN), "amina"),
        10,
        10);
  }

  /**
   * Returns the base URL of the administration API.
   *
   * @return the URL without a slash at the end
   */
  public String url() {
    return "http://127.0.0.1:" + kernel.require(AdminServer.class).port();
  }

  /**
   * Returns the kernel of the host.
   *
   * @return the kernel
   */
  public Kernel kernel() {
    return kernel;
  }

  @Override
  public void close() throws Exception {
    kernel.close();
  }
}
