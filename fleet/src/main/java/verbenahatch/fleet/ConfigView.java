package verbenahatch.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import verbenahatch.model.EnvironmentDocument;

/** Gives the configuration in force on this host. */
public interface ConfigView {

  /**
   * Returns the document of this host's environment.
   *
   * @return the document of the highest generation seen, empty before the first
   */
  Optional<EnvironmentDocument> document();

  /**
   * Returns the targets, availability zones and hosts that drain.
   *
   * @return the drains in force
   */
  Drains drains();

  /**
   * Calls a listener after each adoption of a document or of drains.
   *
   * @param listener the listener; must not block
   */
  void onChange(Consumer<EnvironmentDocument> listener);

  /**
   * Returns the newest value of an object that hosts spread among each other, such as {@code
   * release/<service>}.
   *
   * @param name the name of the object
   * @return the bytes, not to be changed; empty if no value is known
   */
  default Optional<byte[]> object(String name) {
    return Optional.empty();
  }
}
