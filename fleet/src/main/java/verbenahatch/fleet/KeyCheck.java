package verbenahatch.fleet;

/** The result of checking a caller's key. */
public sealed interface KeyCheck {

  /**
   * The key belongs to a workspace.
   *
   * @param workspace the name of the workspace
   * @param keyHash the SHA-256 hash of the key in hexadecimal, for another check after a wait
   */
  record Valid(String workspace, String keyHash) implements KeyCheck {}

  /** The key is not known to this host as issued. */
  record Unknown() implements KeyCheck {}

  /** The key was withdrawn. */
  record Withdrawn() implements KeyCheck {}

  /** The state of the key is unknown, because this host is not fresh. */
  record NotFresh() implements KeyCheck {}
}
