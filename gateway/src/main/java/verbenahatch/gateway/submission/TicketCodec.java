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
 * Creates and verifies tickets, which consist of an id, a MAC and the incarnation that issued them.
 * Thread-safe.
 *
 * <p>The MAC binds a ticket to an environment and a workspace, so that no caller can forge a ticket
 * or use one of another workspace, and hosts need not store unused tickets.
 */
final class TicketCodec {

  /**
   * Length of an id in bytes: the time of issue on the issuer's monotonic clock and a random part.
   */
  static final int ID_BYTES = Long.BYTES + 16;

  private static final int MAC_BYTES = 16;
  private static final String ALGORITHM = "HmacSHA256";

  private final SecureRandom random = new SecureRandom();
  private final SecretKeySpec key;
  private final String environment;

  TicketCodec(String fleetSecret, String environment) {
    this.environment = environment;
    SecretKeySpec fleetKey =
        new SecretKeySpec(fleetSecret.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    // A derived key separates tickets from the proofs that hosts exchange under the same secret.
    this.key =
        new SecretKeySpec(mac(fleetKey, "ticket".getBytes(StandardCharsets.UTF_8)), ALGORITHM);
  }

  /**
   * The parts of an authentic ticket.
   *
   * @param incarnation the incarnation that issued the ticket
   * @param id the id, {@link #ID_BYTES} bytes
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
    byte[] randomPart = new byte[ID_BYTES - Long.BYTES];
    random.nextBytes(randomPart);
    byte[] id = ByteBuffer.allocate(ID_BYTES).putLong(nowNanos).put(randomPart).array();
    Base64.Encoder encoder = Base64.getUrlEncoder().withoutPadding();
    return encoder.encodeToString(id)
        + '.'
        + encoder.encodeToString(sign(incarnation, workspace, id))
        + '.'
        + incarnation;
  }

  /**
   * Verifies a ticket.
   *
   * @param text the ticket
   * @param workspace the workspace of the request, empty for open routes
   * @return the parts of the ticket, null if it is malformed, forged or of another workspace
   */
  @Nullable Ticket verify(String text, String workspace) {
    String[] parts = text.split("\\.", 3);
    if (parts.length != 3) {
      return null;
    }
    try {
      byte[] id = Base64.getUrlDecoder().decode(parts[0]);
      byte[] mac = Base64.getUrlDecoder().decode(parts[1]);
      boolean authentic =
          id.length == ID_BYTES && MessageDigest.isEqual(mac, sign(parts[2], workspace, id));
      return authentic ? new Ticket(parts[2], id) : null;
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  private byte[] sign(String incarnation, String workspace, byte[] id) {
    byte[] boundNames =
        (environment + '\n' + workspace + '\n' + incarnation + '\n')
            .getBytes(StandardCharsets.UTF_8);
    byte[] message =
        ByteBuffer.allocate(boundNames.length + id.length).put(boundNames).put(id).array();
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
