package verbenahatch.model;

/**
 * Describes one fault in settings or in an environment document.
 *
 * @param path the location of the fault, for example {@code services[2].targets[0].slots}
 * @param value the value found, never a secret
 * @param allowed a description of the values allowed at this location
 */
public record Fault(String path, String value, String allowed) {

  @Override
  public String toString() {
    return path + ": " + value + " (allowed: " + allowed + ")";
  }
}
