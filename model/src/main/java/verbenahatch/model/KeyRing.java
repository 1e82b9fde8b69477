package verbenahatch.model;

import java.util.List;

/**
 * Lists the keys of one environment, as stored in {@code keys/<env>}.
 *
 * @param generation the generation number of the list, increased by each change
 * @param keys all keys issued, including withdrawn ones
 */
public record KeyRing(long generation, List<KeyRecord> keys) {

  /** The list before any key is issued. */
  public static final KeyRing EMPTY = new KeyRing(0, List.of());
}
