package verbenahatch.kernel;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Starts plug-ins in order of their requirements and holds what they share.
 *
 * <p>Thread-safe after {@link #start(Iterable)}. Closing it closes every registered resource in
 * reverse order.
 */
public final class Kernel implements AutoCloseable {

  /** Threads for periodic control work; none of it blocks for long. */
  private static final int SCHEDULER_THREADS = 2;

  private final Clock clock;
  private final Events events;
  private final Closer closer = new Closer();
  private final StateRegistry state = new StateRegistry();
  private final Readiness readiness = new Readiness();
  private final PrometheusRegistry metrics = new PrometheusRegistry();
  private final Map<Class<?>, Object> services = new ConcurrentHashMap<>();
  private final ScheduledExecutorService scheduler;

  /**
   * Creates a kernel without plug-ins.
   *
   * @param clock the clock of the process
   * @param events the log of the process
   */
  public Kernel(Clock clock, Events events) {
    this.clock = clock;
    this.events = events;
    this.scheduler =
        Executors.newScheduledThreadPool(
            SCHEDULER_THREADS,
            task -> {
              Thread thread = new Thread(task, "verbenahatch-control");
              thread.setDaemon(true);
              return thread;
            });
    closer.register(scheduler::shutdownNow);
  }

  /**
   * Starts plug-ins so that each one finds the services it requires.
   *
   * @param plugins the plug-ins in any order
   * @throws PluginException if a plug-in fails, or a required service has no provider
   */
  public void start(Iterable<Plugin> plugins) throws PluginException {
    for (Plugin plugin : sort(plugins)) {
      startOne(plugin);
    }
  }

  private void startOne(Plugin plugin) throws PluginException {
    try {
      plugin.start(this);
    } catch (PluginException | RuntimeException e) {
      events.log(KernelEvent.PLUGIN_FAILED, plugin.name(), e.toString());
      throw e;
    }
    for (Class<?> type : plugin.provides()) {
      if (!services.containsKey(type)) {
        throw new PluginException(plugin.name() + " did not provide " + type.getName());
      }
    }
    events.log(KernelEvent.PLUGIN_STARTED, plugin.name());
  }

  private List<Plugin> sort(Iterable<Plugin> plugins) throws PluginException {
    List<Plugin> waiting = new ArrayList<>();
    plugins.forEach(waiting::add);
    Set<Class<?>> available = new HashSet<>(services.keySet());
    List<Plugin> sorted = new ArrayList<>();
    while (!waiting.isEmpty()) {
      Plugin next = null;
      for (Plugin plugin : waiting) {
        if (available.containsAll(plugin.requires())) {
          next = plugin;
          break;
        }
      }
      if (next == null) {
        throw new PluginException(describeMissing(waiting, available));
      }
      waiting.remove(next);
      available.addAll(next.provides());
      sorted.add(next);
    }
    return sorted;
  }

  private static String describeMissing(List<Plugin> waiting, Set<Class<?>> available) {
    StringBuilder text = new StringBuilder("no provider or a cycle:");
    for (Plugin plugin : waiting) {
      for (Class<?> type : plugin.requires()) {
        if (!available.contains(type)) {
          text.append(' ').append(plugin.name()).append(" requires ").append(type.getName());
        }
      }
    }
    return text.toString();
  }

  /**
   * Publishes a service.
   *
   * @param <T> the type of the service
   * @param type the type under which others require it
   * @param service the service, not null
   * @throws IllegalStateException if the type has a service already
   */
  public <T> void provide(Class<T> type, T service) {
    if (services.putIfAbsent(type, service) != null) {
      throw new IllegalStateException("provided twice: " + type.getName());
    }
  }

  /**
   * Returns a service.
   *
   * @param <T> the type of the service
   * @param type the type under which it was provided
   * @return the service
   * @throws IllegalStateException if nothing provides the type
   */
  public <T> T require(Class<T> type) {
    Object service = services.get(type);
    if (service == null) {
      throw new IllegalStateException("not provided: " + type.getName());
    }
    return type.cast(service);
  }

  /**
   * Runs a task at a fixed rate until the kernel closes; an exception is logged and the task goes
   * on.
   *
   * @param name the name used in events
   * @param period the time between two starts, positive
   * @param task the task, not null; must not block
   */
  public void repeat(String name, Duration period, Runnable task) {
    Runnable guarded =
        () -> {
          try {
            task.run();
          } catch (RuntimeException e) {
            events.log(KernelEvent.TASK_FAILED, name, e.toString());
          }
        };
    scheduler.scheduleAtFixedRate(
        guarded, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Returns the clock of the process.
   *
   * @return the clock
   */
  public Clock clock() {
    return clock;
  }

  /**
   * Returns the closer that is closed with the kernel.
   *
   * @return the closer
   */
  public Closer closer() {
    return closer;
  }

  /**
   * Returns the log of the process.
   *
   * @return the log
   */
  public Events events() {
    return events;
  }

  /**
   * Returns the registry of state views.
   *
   * @return the registry
   */
  public StateRegistry state() {
    return state;
  }

  /**
   * Returns the readiness checks.
   *
   * @return the checks
   */
  public Readiness readiness() {
    return readiness;
  }

  /**
   * Returns the registry of metrics.
   *
   * @return the registry
   */
  public PrometheusRegistry metrics() {
    return metrics;
  }

  /**
   * Returns the scheduler for periodic control work.
   *
   * @return a scheduler whose threads do not keep the process alive
   */
  public ScheduledExecutorService scheduler() {
    return scheduler;
  }

  @Override
  public void close() throws Exception {
    try {
      closer.close();
    } catch (Exception e) {
      events.log(KernelEvent.CLOSE_FAILED, e.toString());
      throw e;
    }
  }
}
