package verbenahatch.peer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/** Cuts frames by their length prefix and bounds them more tightly before authentication. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

  /** The largest frame with its length prefix, in bytes. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  /** The size of the length prefix in bytes. */
  static final int PREFIX_BYTES = Integer.BYTES;

  /** A hello holds an incarnation id and a nonce; a stranger can make a host buffer no more. */
  private static final long MAX_HANDSHAKE_BYTES = 1024;

  private boolean authenticated;

  FrameDecoder() {
    super(MAX_FRAME_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES);
  }

  void setAuthenticated() {
    authenticated = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
    long found = super.getUnadjustedFrameLength(buf, offset, length, order);
    if (!authenticated && found > MAX_HANDSHAKE_BYTES) {
      throw new TooLongFrameException("handshake of " + found + " bytes");
    }
    return found;
  }
}
