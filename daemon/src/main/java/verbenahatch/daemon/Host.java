package verbenahatch.daemon;

import java.util.ServiceLoader;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Kernel;
import verbenahatch.kernel.Plugin;
import verbenahatch.kernel.PluginException;
import verbenahatch.model.Settings;

/**
 * Runs the plug-ins of one entry host in this process.
 *
 * <p>Closing a host stops it gracefully: plug-ins close in reverse order of start, so that the data
 * path drains before the components that it uses are closed.
 */
public final class Host implements AutoCloseable {

  private final Settings settings;
  private final Events events;
  private final Kernel kernel;
  private boolean closed;

  /**
   * Creates a host without starting it.
   *
   * @param settings valid settings
   * @param clock the clock of the process
   * @param events the event log of the process
   */
  public Host(Settings settings, Clock clock, Events events) {
    this.settings = settings;
    this.events = events;
    this.kernel = new Kernel(clock, events);
  }

  /**
   * Starts every plug-in on the class path.
   *
   * @throws PluginException if a plug-in cannot start
   */
  public void start() throws PluginException {
    kernel.provide(Settings.class, settings);
    kernel.start(ServiceLoader.load(Plugin.class));
    events.log(DaemonEvent.STARTED, settings.host(), settings.region(), settings.zone());
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
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    events.log(DaemonEvent.STOPPING, settings.host());
    try {
      kernel.close();
    } catch (Exception e) {
      events.log(DaemonEvent.STOP_FAILED, settings.host(), e.toString());
      return;
    }
    events.log(DaemonEvent.STOPPED, settings.host());
  }
}
