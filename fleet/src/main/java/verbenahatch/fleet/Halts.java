package verbenahatch.fleet;

import java.util.List;

/**
 * Lists the halted releases, as stored in {@code status/halts}.
 *
 * @param generation the generation of this list; each change has a higher one
 * @param halts the halted releases
 */
record Halts(long generation, List<Halt> halts) {

  /** The name of the object in the store. */
  static final String NAME = "status/halts";

  static final Halts NONE = new Halts(0, List.of());

  /**
   * A halted release.
   *
   * @param release the id of the release
   * @param reason why it was halted, as text for operators
   */
  record Halt(String release, String reason) {}
}
