package verbenahatch.fleet;

/** Tells whether this host may be given callers. Thread-safe. */
public interface Readiness {

  /**
   * Tells whether this host is ready: a member, fresh, in possession of a document and of the
   * generations that a majority of its peers reported.
   *
   * @return true if ready
   */
  default boolean isReady() {
    return reason().isEmpty();
  }

  /**
   * Tells what is missing.
   *
   * @return a short text for operators, empty if the host is ready
   */
  String reason();
}
