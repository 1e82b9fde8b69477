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

/** Starts the administration API. */
public final class AdminPlugin implements Plugin {

  /** Creates the plug-in; the ServiceLoader calls it. */
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
      throw new PluginException("administration API does not start", e);
    }
  }

  private static AdminRouter router(Kernel kernel, Settings settings) {
    ConfigView config = kernel.require(ConfigView.class);
    Fleet fleet = kernel.require(Fleet.class);
    JsonObjects objects = new JsonObjects(kernel.require(ObjectStore.class));
    FactCalls facts = new FactCalls(kernel.require(Facts.class));
    String own = settings.environment();
    EnvironmentCalls environments = new EnvironmentCalls(objects, config, own);
    KeyCalls keys =
        new KeyCalls(objects, environments, kernel.require(Keys.class), facts, kernel.clock(), own);
    return new AdminRouter(
        new StatusCalls(settings, fleet, config, kernel.readiness()),
        environments,
        keys,
        new DrainCalls(objects, config, fleet),
        new ReleaseCalls(objects, environments, facts));
  }
}
