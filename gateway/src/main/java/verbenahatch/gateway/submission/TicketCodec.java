package verbenahatch.gateway.submission;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.jspecify.annotations.Nullable;

/**
 * Writes and checks tickets: id, MAC and the incarnation that issued them. Thread-safe.
 *
 * <p>The MAC binds a ticket to environment and workspace, so that no caller can forge one or use
 * that of another workspace, and hosts need not keep tickets that nobody uses.
 */
final class TicketCodec {

  /** Bytes of an id: the time of issue on the issuer's monotonic clock and a random part. */
  static final int ID_BYTES = Long.BYTES + 16;

  private static final int MAC_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final SecureRandom random = new SecureRandom();
  private final SecretKeySpec key;
  private final String environment;

  TicketCodec(String fleetSecret, String environment) {
    this.environment = environment;
    SecretKeySpec root = new SecretKeySpec(fleetSecret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    // A key of its own keeps tickets and the proofs between hosts apart.
    this.key = new SecretKeySpec(mac(root, "ticket".getBytes(StandardCharsets.UTF_8)), ALGORITHM);
  }

  /**
   * Holds the parts of a genuine ticket.
   *
   * @param incarnation the incarnation that issued it
   * @param id the id
   */
  // The array is private to this package and never changed.
  @SuppressWarnings("ArrayRecordComponent")
  record Ticket(String incarnation, byte[] id) {

    /** Returns the time of issue on the issuer's monotonic clock, in nanoseconds. */
    static long issuedNanos(byte[] id) {
      return ByteBuffer.wrap(id).getLong();
    }
  }

  String issue(String incarnation, String workspace, long nowNanos) {
    byte[] secret = new byte[ID_BYTES - Long.BYTES];
    random.nextBytes(secret);
    byte[] id = ByteBuffer.allocate(ID_BYTES).putLong(nowNanos).put(secret).array();
    Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
    return encoder.encodeToString(id)
        + '.'
        + encoder.encodeToString(sign(incarnation, workspace, id))
        + '.'
        + incarnation;
  }

  /**
   * Checks a ticket.
   *
   * @return its parts, null if it is not genuine
   */
  @Nullable Ticket read(String text, String workspace) {
    String[] parts = text.split("\\.", 3);
    if (parts.length != 3) {
      return null;
    }
    try {
      byte[] id = Base64.getUrlDecoder().decode(parts[0]);
      byte[] mac = Base64.getUrlDecoder().decode(parts[1]);
      boolean genuine =
          id.length == ID_BYTES && MessageDigest.isEqual(mac, sign(parts[2], workspace, id));
      return genuine ? new Ticket(parts[2], id) : null;
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private byte[] sign(String incarnation, String workspace, byte[] id) {
    byte[] names =
        (environment + '\n' + workspace + '\n' + incarnation + '\n')
            .getBytes(StandardCharsets.UTF_8);
    byte[] message = ByteBuffer.allocate(names.length + id.length).put(names).put(id).array();
    return Arrays.copyOf(mac(key, message), MAC_BYTES);
  }

  private static byte[] mac(SecretKeySpec key, byte[] message) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(message);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException(ALGORITHM + " is part of every Java platform", e);
    }
  }
}
