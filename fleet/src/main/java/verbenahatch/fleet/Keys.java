package verbenahatch.fleet;

import org.jspecify.annotations.Nullable;

/** Checks callers' keys against the issued and withdrawn keys. Thread-safe and lock-free. */
public interface Keys {

  /**
   * Checks a key as sent by a caller.
   *
   * @param key the key; null or empty counts as unknown
   * @return what it allows now
   */
  KeyCheck check(@Nullable String key);

  /**
   * Checks a key again that was valid before a wait.
   *
   * @param keyHash the hash from {@link KeyCheck.Valid}
   * @return what it allows now
   */
  KeyCheck recheck(String keyHash);
}
