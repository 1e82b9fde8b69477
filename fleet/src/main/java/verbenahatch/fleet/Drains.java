package verbenahatch.fleet;

import java.util.Set;

/**
 * Lists what is draining: it finishes its work in progress and gets no new work.
 *
 * @param generation the generation of this list; each change has a higher one
 * @param targets the ids of the draining targets
 * @param zones the names of the draining availability zones
 * @param hosts the names of the draining hosts
 */
public record Drains(long generation, Set<String> targets, Set<String> zones, Set<String> hosts) {

  /** The state in which nothing is draining. */
  public static final Drains NONE = new Drains(0, Set.of(), Set.of(), Set.of());
}
