package verbenahatch.store;

import java.time.Duration;
import java.util.Set;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;

/** Provides the object store and the list of hosts, both accessed over HTTP. */
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
    HttpObjectStore httpStore;
    try {
      httpStore = new HttpObjectStore(platform.urls(), Duration.ofMillis(platform.timeoutMillis()));
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new PluginException("object store client failed to start", e);
    }
    kernel.closer().register(httpStore);
    MeteredObjectStore meteredStore = new MeteredObjectStore(httpStore, kernel.metrics());
    kernel.provide(ObjectStore.class, meteredStore);
    kernel.provide(HostList.class, httpStore);
  }
}
