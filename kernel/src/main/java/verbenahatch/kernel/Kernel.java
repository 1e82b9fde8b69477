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
 * Starts plug-ins in the order of their dependencies and holds the objects that they share.
 *
 * <p>Thread-safe after {@link #start(Iterable)}. Closing it closes every registered resource in
 * reverse order.
 */
public final class Kernel implements AutoCloseable {

  /** Threads for periodic control tasks, none of which blocks for long. */
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
   * Starts plug-ins in an order in which each one finds the services that it requires.
   *
   * @param plugins the plug-ins in any order
   * @throws PluginException if a plug-in fails, a required service has no provider, or the
   *     dependencies form a cycle
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
    List<Plugin> pending = new ArrayList<>();
    plugins.forEach(pending::add);
    Set<Class<?>> available = new HashSet<>(services.keySet());
    List<Plugin> sorted = new ArrayList<>();
    while (!pending.isEmpty()) {
      Plugin next = null;
      for (Plugin plugin : pending) {
        if (available.containsAll(plugin.requires())) {
          next = plugin;
          break;
        }
      }
      if (next == null) {
        throw new PluginException(describeMissing(pending, available));
      }
      pending.remove(next);
      available.addAll(next.provides());
      sorted.add(next);
    }
    return sorted;
  }

  private static String describeMissing(List<Plugin> pending, Set<Class<?>> available) {
    StringBuilder text = new StringBuilder("missing provider or dependency cycle:");
    for (Plugin plugin : pending) {
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
   * @param type the type by which other plug-ins require the service
   * @param service the service, not null
   * @throws IllegalStateException if a service of this type is already published
   */
  public <T> void provide(Class<T> type, T service) {
    if (services.putIfAbsent(type, service) != null) {
      throw new IllegalStateException("service already provided: " + type.getName());
    }
  }

  /**
   * Returns a service.
   *
   * @param <T> the type of the service
   * @param type the type under which it was provided
   * @return the service
   * @throws IllegalStateException if no service of this type is published
   */
  public <T> T require(Class<T> type) {
    Object service = services.get(type);
    if (service == null) {
      throw new IllegalStateException("service not provided: " + type.getName());
    }
    return type.cast(service);
  }

  /**
   * Runs a task at a fixed rate until the kernel is closed, for the first time after one period. An
   * unchecked exception or an error is logged and the task runs again at its next time.
   *
   * @param name the name of the task in events
   * @param period the time between the starts of two runs, positive
   * @param task the task, not null; must not block
   */
  public void repeat(String name, Duration period, Runnable task) {
    Runnable guardedTask =
        () -> {
          try {
            task.run();
          } catch (RuntimeException | Error e) {
            events.log(KernelEvent.TASK_FAILED, name, e.toString());
          }
        };
    scheduler.scheduleAtFixedRate(
        guardedTask, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
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
   * Returns the closer whose resources are closed with the kernel.
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
   * Returns the scheduler for periodic control tasks.
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
