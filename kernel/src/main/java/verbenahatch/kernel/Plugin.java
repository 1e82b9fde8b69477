package verbenahatch.kernel;

import java.util.Set;

/**
 * Adds one component of the system to a process.
 *
 * <p>Implementations are registered through {@code META-INF/services/verbenahatch.kernel.Plugin}
 * and need a public constructor without parameters.
 */
public interface Plugin {

  /**
   * Returns the name of the plug-in in events.
   *
   * @return a short name, unique in the process
   */
  String name();

  /**
   * Returns the service types that must exist before this plug-in starts.
   *
   * @return the types, possibly empty
   */
  Set<Class<?>> requires();

  /**
   * Returns the service types that this plug-in provides in {@link #start(Kernel)}.
   *
   * @return the types, possibly empty
   */
  Set<Class<?>> provides();

  /**
   * Starts the plug-in, which registers its resources with {@link Kernel#closer()}.
   *
   * @param kernel the kernel of the process
   * @throws PluginException if the plug-in cannot start; the process then stops
   */
  void start(Kernel kernel) throws PluginException;
}
