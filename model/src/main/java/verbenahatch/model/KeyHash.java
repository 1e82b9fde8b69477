package verbenahatch.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes callers' keys. */
public final class KeyHash {

  private KeyHash() {}

  /**
   * Hashes a key.
   *
   * @param key the key as presented by the caller, not null
   * @return the SHA-256 hash in lower-case hex
   */
  public static String of(String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
