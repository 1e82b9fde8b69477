package verbenahatch.fleet;

import java.util.Set;

/**
 * Names what drains: it finishes its work and gets no new work.
 *
 * @param generation the number of this state; each change has a higher one
 * @param targets ids of targets
 * @param zones names of availability zones
 * @param hosts names of hosts
 */
public record Drains(long generation, Set<String> targets, Set<String> zones, Set<String> hosts) {

  /** Nothing drains. */
  public static final Drains NONE = new Drains(0, Set.of(), Set.of(), Set.of());
}
