package verbenahatch.fleet;

import org.jspecify.annotations.Nullable;

/** Checks callers' keys against the keys issued and withdrawn. Thread-safe and free of locks. */
public interface Keys {

  /**
   * Checks a key as presented by a caller.
   *
   * @param key the key, null or empty counts as unknown
   * @return what it allows now
   */
  KeyCheck check(@Nullable String key);

  /**
   * Checks again a key that was valid before a wait.
   *
   * @param keyHash the hash from {@link KeyCheck.Valid}
   * @return what it allows now
   */
  KeyCheck recheck(String keyHash);
}
