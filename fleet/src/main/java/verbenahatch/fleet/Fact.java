package verbenahatch.fleet;

/** States something that never becomes false again. */
public sealed interface Fact {

  /**
   * A key was withdrawn.
   *
   * @param environment the environment of the key
   * @param keyHash the SHA-256 hash of the key in hex
   */
  record KeyWithdrawn(String environment, String keyHash) implements Fact {}

  /**
   * An incarnation of a host must use no key and no shared limit any more.
   *
   * @param incarnation the incarnation
   */
  record HostFenced(String incarnation) implements Fact {}

  /**
   * A release must get no more traffic.
   *
   * @param release the id of the release
   * @param reason why it was halted, for operators
   */
  record ReleaseHalted(String release, String reason) implements Fact {}
}
