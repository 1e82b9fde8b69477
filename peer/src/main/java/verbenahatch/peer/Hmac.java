package verbenahatch.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Computes HMAC-SHA256 values under one key. Not thread-safe. */
final class Hmac {

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  Hmac(byte[] key) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java platform must support " + ALGORITHM, e);
    }
  }

  byte[] compute(ByteBuffer data) {
    mac.update(data);
    return mac.doFinal();
  }

  /** Computes an HMAC over a label and parts, each preceded by its length in bytes. */
  byte[] compute(String label, byte[]... parts) {
    update(label.getBytes(StandardCharsets.UTF_8));
    for (byte[] part : parts) {
      update(part);
    }
    return mac.doFinal();
  }

  private void update(byte[] part) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
    mac.update(part);
  }

  static boolean matches(byte[] expected, byte[] actual) {
    return MessageDigest.isEqual(expected, actual);
  }
}
