package verbenahatch.peer;

import com.google.protobuf.ByteString;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;
import verbenahatch.peer.generated.Envelope;

/** Peer over a plain socket, with which tests can violate the protocol of the link. */
final class RawPeer implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final Socket socket;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final Handshake handshake;

  RawPeer(PeerAddress to, String secret) throws IOException {
    this(new Socket(to.address(), to.port()), secret, true);
  }

  private RawPeer(Socket socket, String secret, boolean caller) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    in = new DataInputStream(socket.getInputStream());
    out = new DataOutputStream(socket.getOutputStream());
    handshake = new Handshake(secret, caller, "raw");
  }

  /** Accepts one connection as the callee and authenticates both sides. */
  static RawPeer accept(ServerSocket server, String secret) throws Exception {
    RawPeer peer = new RawPeer(server.accept(), secret, false);
    peer.handshake.acceptHello(peer.read().orElseThrow());
    peer.write(peer.handshake.hello());
    peer.handshake.acceptProof(peer.read().orElseThrow());
    peer.write(peer.handshake.proof());
    return peer;
  }

  /** Sends hello and proof; returns false if the other side closes without sending its proof. */
  boolean authenticate() throws Exception {
    write(handshake.hello());
    handshake.acceptHello(read().orElseThrow());
    write(handshake.proof());
    Optional<byte[]> proof = read();
    if (proof.isEmpty()) {
      return false;
    }
    handshake.acceptProof(proof.get());
    return true;
  }

  FrameSeal seal() {
    return handshake.outgoingSeal();
  }

  static Envelope.Builder request(long id) {
    return Envelope.newBuilder()
        .setKind(MessageKind.PULSE.number())
        .setCorrelationId(id)
        .setBody(ByteString.copyFromUtf8("raw"));
  }

  void write(byte[] frame) throws IOException {
    out.writeInt(frame.length);
    out.write(frame);
    out.flush();
  }

  void writeLength(int length) throws IOException {
    out.writeInt(length);
    out.flush();
  }

  /** Writes bytes of a frame whose length was written. */
  void writePart(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  /** Returns the next frame, or empty if the other side closed the connection. */
  Optional<byte[]> read() throws IOException {
    try {
      return Optional.of(in.readNBytes(in.readInt()));
    } catch (EOFException | SocketException e) {
      return Optional.empty();
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
