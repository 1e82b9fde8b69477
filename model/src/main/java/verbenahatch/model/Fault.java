package verbenahatch.model;

/**
 * Names one fault in settings or in a document.
 *
 * @param path where the fault is, for example {@code services[2].targets[0].slots}
 * @param value the value found, never a secret
 * @param allowed what is allowed there
 */
public record Fault(String path, String value, String allowed) {

  @Override
  public String toString() {
    return path + ": " + value + " (allowed: " + allowed + ")";
  }
}
