package verbenahatch.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import verbenahatch.peer.LinkException.Reason;
import verbenahatch.peer.generated.Envelope;
import verbenahatch.peer.generated.Sealed;

/** Numbers and authenticates the frames of one direction of a connection. Not thread-safe. */
final class FrameSeal {

  private final Hmac hmac;
  private long sequence;

  FrameSeal(byte[] key) {
    this.hmac = new Hmac(key);
  }

  byte[] seal(Envelope.Builder content) {
    sequence++;
    byte[] envelope = content.setSequence(sequence).build().toByteArray();
    ByteString wrapped = UnsafeByteOperations.unsafeWrap(envelope);
    byte[] mac = hmac.compute(wrapped.asReadOnlyByteBuffer());
    return Sealed.newBuilder()
        .setEnvelope(wrapped)
        .setMac(UnsafeByteOperations.unsafeWrap(mac))
        .build()
        .toByteArray();
  }

  /** Returns the content of the next frame; the connection must be closed when this throws. */
  Envelope open(byte[] frame) throws LinkException {
    try {
      Sealed sealed = Sealed.parseFrom(frame);
      byte[] expected = hmac.compute(sealed.getEnvelope().asReadOnlyByteBuffer());
      if (!Hmac.matches(expected, sealed.getMac().toByteArray())) {
        throw new LinkException(Reason.GARBLED, "wrong HMAC");
      }
      Envelope envelope = Envelope.parseFrom(sealed.getEnvelope());
      if (envelope.getSequence() != sequence + 1) {
        throw new LinkException(
            Reason.REPLAYED, "frame " + envelope.getSequence() + " instead of " + (sequence + 1));
      }
      sequence++;
      return envelope;
    } catch (InvalidProtocolBufferException e) {
      throw new LinkException(Reason.GARBLED, "no frame: " + e.getMessage());
    }
  }
}
