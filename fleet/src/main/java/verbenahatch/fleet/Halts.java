package verbenahatch.fleet;

import java.util.List;

/**
 * Lists the halted releases, as kept in {@code status/halts}.
 *
 * @param generation the number of this state; each change has a higher one
 * @param halts the halted releases
 */
record Halts(long generation, List<Halt> halts) {

  /** The name of the object in the store. */
  static final String NAME = "status/halts";

  static final Halts NONE = new Halts(0, List.of());

  /** One halted release. */
  record Halt(String release, String reason) {}
}
