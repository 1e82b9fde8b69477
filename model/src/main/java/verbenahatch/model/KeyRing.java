package verbenahatch.model;

import java.util.List;

/**
 * Lists the keys of one environment, as kept in {@code keys/<env>}.
 *
 * @param generation the number of this state; each change has a higher one
 * @param keys the keys issued, with those withdrawn
 */
public record KeyRing(long generation, List<KeyRecord> keys) {

  /** No key was issued. */
  public static final KeyRing EMPTY = new KeyRing(0, List.of());
}
