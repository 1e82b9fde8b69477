package verbenahatch.release;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import verbenahatch.fleet.ConfigView;
import verbenahatch.fleet.Facts;
import verbenahatch.fleet.Fleet;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.KernelEvent;
import verbenahatch.kernel.Plugin;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreWriter;

/** Provides {@link Releases}. */
public final class ReleasePlugin implements Plugin {

  /** Creates the plug-in. */
  public ReleasePlugin() {}

  @Override
  public String name() {
    return "release";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(Fleet.class, Facts.class, ConfigView.class, PeerLink.class, ObjectStore.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(Releases.class);
  }

  @Override
  public void start(Kernel kernel) {
    ReleaseNode node =
        new ReleaseNode(
            kernel.clock(),
            kernel.events(),
            kernel.require(Fleet.class),
            kernel.require(Facts.class),
            kernel.require(ConfigView.class),
            kernel.require(PeerLink.class),
            new StoreWriter(kernel.require(ObjectStore.class)));
    kernel.provide(Releases.class, node);
    kernel.state().register("releases", node::status);
    GaugeWithCallback.builder()
        .name("verbenahatch_release_exposure")
        .help("Share of requests that this host gives to the new version.")
        .labelNames("service", "release", "state")
        .callback(
            callback ->
                node.status()
                    .forEach(s -> callback.call(s.exposure(), s.service(), s.release(), s.state())))
        .register(kernel.metrics());
    kernel.repeat("release-tick", ReleaseNode.TICK, node::tick);
    startCoordinator(kernel, node);
  }

  /** Starts a dedicated thread for coordination, because coordination blocks on the store. */
  private static void startCoordinator(Kernel kernel, ReleaseNode node) {
    CountDownLatch stopping = new CountDownLatch(1);
    Thread thread = new Thread(() -> coordinate(kernel, node, stopping), "release-coordinator");
    thread.setDaemon(true);
    thread.start();
    kernel.closer().register(stopping::countDown);
  }

  private static void coordinate(Kernel kernel, ReleaseNode node, CountDownLatch stopping) {
    try {
      while (!stopping.await(ReleaseNode.TICK.toMillis(), TimeUnit.MILLISECONDS)) {
        try {
          node.coordinate();
        } catch (RuntimeException e) {
          kernel.events().log(KernelEvent.TASK_FAILED, "release-coordinator", e.toString());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
