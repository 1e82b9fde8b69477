package verbenahatch.store;

import java.time.Duration;
import java.util.Set;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;

/** Provides the object store and the list of hosts over HTTP. */
public final class StorePlugin implements Plugin {

  /** Creates the plug-in; the ServiceLoader calls it. */
  public StorePlugin() {}

  @Override
  public String name() {
    return "store";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(Settings.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(ObjectStore.class, HostList.class);
  }

  @Override
  public void start(Kernel kernel) throws PluginException {
    Settings.Platform platform = kernel.require(Settings.class).platform();
    HttpObjectStore http;
    try {
      http = new HttpObjectStore(platform.urls(), Duration.ofMillis(platform.timeoutMillis()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new PluginException("object store adapter does not start", e);
    }
    kernel.closer().register(http);
    MeteredObjectStore store = new MeteredObjectStore(http, kernel.metrics());
    kernel.provide(ObjectStore.class, store);
    kernel.provide(HostList.class, http);
  }
}
