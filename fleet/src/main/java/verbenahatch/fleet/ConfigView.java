package verbenahatch.fleet;

import java.util.Optional;
import java.util.function.Consumer;
import verbenahatch.model.EnvironmentDocument;

/** Provides the configuration in force on this host. */
public interface ConfigView {

  /**
   * Returns the environment document of this host's environment.
   *
   * @return the document of the highest generation known to this host, empty before the first one
   */
  Optional<EnvironmentDocument> document();

  /**
   * Returns the targets, availability zones and hosts that are draining.
   *
   * @return the drains in force; {@link Drains#NONE} before the first are known
   */
  Drains drains();

  /**
   * Adds a listener that is called after each adoption of a document or of drains, once a document
   * is known.
   *
   * @param listener called with the document in force; must not block
   */
  void onChange(Consumer<EnvironmentDocument> listener);

  /**
   * Returns the newest value of an object that hosts replicate among each other, such as {@code
   * release/<service>}.
   *
   * @param name the name of the object
   * @return the bytes, which the caller must not change; empty if no value is known
   */
  default Optional<byte[]> object(String name) {
    return Optional.empty();
  }
}
