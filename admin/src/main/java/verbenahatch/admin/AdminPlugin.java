package verbenahatch.admin;

import java.io.IOException;
import java.util.Set;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Facts;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Keys;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;
import verbenahatch.store.ObjectStore;

/** Plug-in that starts the administration API. */
public final class AdminPlugin implements Plugin {

  /** Creates the plug-in; called by the ServiceLoader. */
  public AdminPlugin() {}

  @Override
  public String name() {
    return "admin";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(
        Settings.class, ObjectStore.class, Fleet.class, Facts.class, ConfigView.class, Keys.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(AdminServer.class);
  }

  @Override
  public void start(Kernel kernel) throws PluginException {
    Settings settings = kernel.require(Settings.class);
    try {
      AdminServer server = new AdminServer(kernel, settings, router(kernel, settings));
      kernel.closer().register(server);
      kernel.provide(AdminServer.class, server);
    } catch (IOException e) {
      throw new PluginException("administration API cannot start", e);
    }
  }

  private static AdminRouter router(Kernel kernel, Settings settings) {
    ConfigView config = kernel.require(ConfigView.class);
    Fleet fleet = kernel.require(Fleet.class);
    JsonObjects objects = new JsonObjects(kernel.require(ObjectStore.class));
    FactPublisher factPublisher = new FactPublisher(kernel.require(Facts.class));
    String ownEnvironment = settings.environment();
    EnvironmentHandlers environments = new EnvironmentHandlers(objects, config, ownEnvironment);
    KeyHandlers keys =
        new KeyHandlers(
            objects,
            environments,
            kernel.require(Keys.class),
            factPublisher,
            kernel.clock(),
            ownEnvironment);
    return new AdminRouter(
        new StatusHandlers(settings, fleet, config, kernel.readiness()),
        environments,
        keys,
        new DrainHandlers(objects, config, fleet),
        new ReleaseHandlers(objects, environments, factPublisher));
  }
}
