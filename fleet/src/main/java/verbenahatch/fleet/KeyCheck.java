package verbenahatch.fleet;

/** Tells what a caller's key allows at this moment. */
public sealed interface KeyCheck {

  /**
   * The key belongs to a workspace.
   *
   * @param workspace the name of the workspace
   * @param keyHash the SHA-256 hash of the key in hex, for a check after a wait
   */
  record Valid(String workspace, String keyHash) implements KeyCheck {}

  /** The key was never issued, as far as this host knows. */
  record Unknown() implements KeyCheck {}

  /** The key was withdrawn. */
  record Withdrawn() implements KeyCheck {}

  /** This host cannot know, because it is not fresh. */
  record NotFresh() implements KeyCheck {}
}
