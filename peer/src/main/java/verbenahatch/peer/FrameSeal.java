package verbenahatch.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import verbenahatch.peer.LinkException.Reason;
import verbenahatch.peer.generated.Envelope;
import verbenahatch.peer.generated.Sealed;

/**
 * Adds a sequence number and an HMAC to the frames of one direction of a connection, or verifies
 * them. Not thread-safe.
 */
final class FrameSeal {

  private final Hmac hmac;
  private long lastSequence;

  FrameSeal(byte[] key) {
    this.hmac = new Hmac(key);
  }

  byte[] seal(Envelope.Builder content) {
    lastSequence++;
    byte[] serialized = content.setSequence(lastSequence).build().toByteArray();
    ByteString envelopeBytes = UnsafeByteOperations.unsafeWrap(serialized);
    byte[] mac = hmac.compute(envelopeBytes.asReadOnlyByteBuffer());
    return Sealed.newBuilder()
        .setEnvelope(envelopeBytes)
        .setMac(UnsafeByteOperations.unsafeWrap(mac))
        .build()
        .toByteArray();
  }

  /**
   * Verifies the next frame and returns its content.
   *
   * @throws LinkException if the frame is malformed, its HMAC is wrong or its sequence number is
   *     not the next one; the connection must then be closed
   */
  Envelope open(byte[] frame) throws LinkException {
    try {
      Sealed sealed = Sealed.parseFrom(frame);
      byte[] expectedMac = hmac.compute(sealed.getEnvelope().asReadOnlyByteBuffer());
      if (!Hmac.matches(expectedMac, sealed.getMac().toByteArray())) {
        throw new LinkException(Reason.GARBLED, "wrong HMAC");
      }
      Envelope envelope = Envelope.parseFrom(sealed.getEnvelope());
      if (envelope.getSequence() != lastSequence + 1) {
        throw new LinkException(
            Reason.REPLAYED,
            "frame sequence number "
                + envelope.getSequence()
                + " instead of "
                + (lastSequence + 1));
      }
      lastSequence++;
      return envelope;
    } catch (InvalidProtocolBufferException e) {
      throw new LinkException(Reason.GARBLED, "malformed frame: " + e.getMessage());
    }
  }
}
