package verbenahatch.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import verbenahatch.peer.LinkException.Reason;
import verbenahatch.peer.generated.Hello;
import verbenahatch.peer.generated.Proof;

/**
 * Authenticates both ends of one connection and derives its keys.
 *
 * <p>Each side sends a hello with a new random nonce. Then first the caller, which opened the
 * connection, and after it the callee sends a proof: an HMAC over its role and both hellos. The
 * caller sends its proof first, so that an unknown peer that connects receives no value computed
 * with the secret. The role in each HMAC prevents reflection. The frame keys of the two directions
 * are derived from both hellos, so no frame is valid on another connection.
 */
final class Handshake {

  static final int PROTOCOL_VERSION = 1;

  private static final int NONCE_BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final Hmac secret;
  private final boolean caller;
  private final byte[] ownHello;
  private byte[] peerHello = {};
  private String peerIncarnation = "";

  Handshake(String secret, boolean caller, String incarnation) {
    this.secret = new Hmac(secret.getBytes(StandardCharsets.UTF_8));
    this.caller = caller;
    byte[] nonce = new byte[NONCE_BYTES];
    RANDOM.nextBytes(nonce);
    this.ownHello =
        Hello.newBuilder()
            .setProtocol(PROTOCOL_VERSION)
            .setIncarnation(incarnation)
            .setNonce(ByteString.copyFrom(nonce))
            .build()
            .toByteArray();
  }

  byte[] hello() {
    return ownHello;
  }

  void acceptHello(byte[] bytes) throws LinkException {
    Hello hello;
    try {
      hello = Hello.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new LinkException(Reason.STRANGER, "malformed hello: " + e.getMessage());
    }
    if (hello.getProtocol() != PROTOCOL_VERSION) {
      throw new LinkException(Reason.STRANGER, "unsupported protocol " + hello.getProtocol());
    }
    if (hello.getNonce().size() != NONCE_BYTES || Arrays.equals(bytes, ownHello)) {
      throw new LinkException(Reason.STRANGER, "invalid nonce or reflected hello");
    }
    peerHello = bytes;
    peerIncarnation = hello.getIncarnation();
  }

  byte[] proof() {
    return Proof.newBuilder()
        .setMac(ByteString.copyFrom(derive("proof", caller)))
        .build()
        .toByteArray();
  }

  void acceptProof(byte[] bytes) throws LinkException {
    byte[] receivedMac;
    try {
      receivedMac = Proof.parseFrom(bytes).getMac().toByteArray();
    } catch (InvalidProtocolBufferException e) {
      throw new LinkException(Reason.STRANGER, "malformed proof: " + e.getMessage());
    }
    if (!Hmac.matches(derive("proof", !caller), receivedMac)) {
      throw new LinkException(Reason.STRANGER, "proof does not match the shared secret");
    }
  }

  String peerIncarnation() {
    return peerIncarnation;
  }

  FrameSeal outgoingSeal() {
    return new FrameSeal(derive("frames", caller));
  }

  FrameSeal incomingSeal() {
    return new FrameSeal(derive("frames", !caller));
  }

  private byte[] derive(String purpose, boolean forCaller) {
    String label = purpose + (forCaller ? " of caller" : " of callee");
    return caller
        ? secret.compute(label, ownHello, peerHello)
        : secret.compute(label, peerHello, ownHello);
  }
}
