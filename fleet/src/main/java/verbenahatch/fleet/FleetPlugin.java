package verbenahatch.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.KernelEvent;
import verbenahatch.kernel.Plugin;
import verbenahatch.model.Settings;
import verbenahatch.peer.PeerAddress;
import verbenahatch.peer.PeerLink;
import verbenahatch.store.ObjectStore;

/** Provides members, freshness, facts, configuration and keys to the other plug-ins. */
public final class FleetPlugin implements Plugin {

  private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
  private static final long STORE_STEP_INTERVAL_MILLIS = 100;
  private static final long IDLE_INTERVAL_MILLIS = 300;

  /**
   * Longest time for which a stopping host attempts to leave the members. After it, other hosts
   * have to fence this one.
   */
  private static final Duration LEAVE_TIMEOUT = Duration.ofSeconds(5);

  private final CountDownLatch stopping = new CountDownLatch(1);
  private final List<Thread> threads = new ArrayList<>();

  /** Creates the plug-in. */
  public FleetPlugin() {}

  @Override
  public String name() {
    return "fleet";
  }

  @Override
  public Set<Class<?>> requires() {
    return Set.of(Settings.class, ObjectStore.class, PeerLink.class);
  }

  @Override
  public Set<Class<?>> provides() {
    return Set.of(Fleet.class, Facts.class, ConfigView.class, Keys.class);
  }

  @Override
  public void start(Kernel kernel) {
    Settings settings = kernel.require(Settings.class);
    PeerLink link = kernel.require(PeerLink.class);
    FleetNode node =
        new FleetNode(
            selfMember(settings, link),
            settings.environment(),
            kernel.clock(),
            kernel.events(),
            link,
            kernel.require(ObjectStore.class),
            () -> UUID.randomUUID().toString());
    kernel.provide(Fleet.class, node);
    kernel.provide(Facts.class, node.facts());
    kernel.provide(ConfigView.class, node.config());
    kernel.provide(Keys.class, node.keys());
    kernel.readiness().register("fleet", node::notReadyReason);
    FleetViews.register(kernel, node);
    kernel.repeat("fleet-tick", TICK_INTERVAL, node::tick);
    startThread(kernel, "fleet-store", () -> storeLoop(node));
    for (String prefix : node.watchPrefixes()) {
      startThread(kernel, "fleet-watch-" + prefix, () -> watchLoop(node, prefix));
    }
    kernel.closer().register(() -> stop(kernel, node));
  }

  private static Member selfMember(Settings settings, PeerLink link) {
    PeerAddress peer = link.localAddress();
    Settings.Endpoint callers = settings.callers();
    return new Member(
        settings.host(),
        link.incarnation(),
        settings.region(),
        settings.zone(),
        peer,
        "http://" + callers.address() + ":" + callers.port(),
        false);
  }

  private interface Step {
    boolean run() throws InterruptedException;
  }

  private void startThread(Kernel kernel, String name, Step step) {
    Thread thread = new Thread(() -> loop(kernel, name, step), name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  /** Runs a step repeatedly until the host stops; a failure of one run does not end the thread. */
  private void loop(Kernel kernel, String name, Step step) {
    while (stopping.getCount() > 0) {
      try {
        if (!step.run()) {
          return;
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        kernel.events().log(KernelEvent.TASK_FAILED, name, e.toString());
      }
    }
  }

  private boolean storeLoop(FleetNode node) throws InterruptedException {
    node.storeStep();
    return !stopping.await(STORE_STEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private boolean watchLoop(FleetNode node, String prefix) throws InterruptedException {
    boolean watched = node.isWatcher() && node.watchStep(prefix, Timing.WATCH_TIMEOUT);
    return watched || !stopping.await(IDLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void stop(Kernel kernel, FleetNode node) throws InterruptedException {
    stopping.countDown();
    threads.get(0).join(LEAVE_TIMEOUT.toMillis());
    node.markLeaving();
    long deadlineNanos = kernel.clock().nanoTime() + LEAVE_TIMEOUT.toNanos();
    CountDownLatch pause = new CountDownLatch(1);
    while (!node.leaveStep()) {
      if (kernel.clock().nanoTime() - deadlineNanos >= 0
          || node.isStoreDown()
          || pause.await(STORE_STEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
        kernel.events().log(FleetEvent.LEAVE_INCOMPLETE, node.self().incarnation());
        return;
      }
    }
  }
}
