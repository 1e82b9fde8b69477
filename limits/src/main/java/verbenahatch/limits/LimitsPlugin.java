package verbenahatch.limits;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;

/** Creates the shared limits and provides {@link Limits} to other plug-ins. */
public final class LimitsPlugin implements Plugin {

  @Override
  public String name() {
    return "limits";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(Fleet.class, ConfigView.class, PeerLink.class, ObjectStore.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(Limits.class);
  }

  @Override
  public void start(Kernel kernel) {
    ExecutorService storeCalls =
        Executors.newSingleThreadExecutor(
            task -> {
              Thread thread = new Thread(task, "verbenahatch-limits-store");
              thread.setDaemon(true);
              return thread;
            });
    kernel.closer().register(storeCalls::shutdownNow);
    SharedLimits limits =
        new SharedLimits(
            kernel.clock(),
            kernel.require(Fleet.class),
            kernel.require(ConfigView.class),
            kernel.require(PeerLink.class),
            kernel.require(ObjectStore.class),
            storeCalls,
            kernel.events());
    kernel.repeat("limits", Duration.ofMillis(SharedLimits.TICK_MILLIS), limits::tick);
    kernel.state().register("limits", limits::view);
    MeteredLimits metered = new MeteredLimits(limits, kernel.metrics());
    kernel.provide(Limits.class, metered);
  }
}
