package verbenahatch.fleet;

/** A statement that stays true once it is true. */
public sealed interface Fact {

  /**
   * A key was withdrawn.
   *
   * @param environment the environment of the key
   * @param keyHash the SHA-256 hash of the key in hexadecimal
   */
  record KeyWithdrawn(String environment, String keyHash) implements Fact {}

  /**
   * An incarnation of a host was fenced: it must no longer use keys or shared limits.
   *
   * @param incarnation the id of the incarnation
   */
  record HostFenced(String incarnation) implements Fact {}

  /**
   * A release was halted: it must get no more traffic.
   *
   * @param release the id of the release
   * @param reason why it was halted, as text for operators
   */
  record ReleaseHalted(String release, String reason) implements Fact {}
}
