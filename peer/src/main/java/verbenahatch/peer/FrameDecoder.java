package verbenahatch.peer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.ByteOrder;

/** Splits the byte stream at length prefixes; frames before authentication have a lower limit. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {

  /** Maximum size of a frame with its length prefix, in bytes. */
  static final int MAX_FRAME_BYTES = 1 << 20;

  static final int LENGTH_PREFIX_BYTES = Integer.BYTES;

  /** Enough for a hello with id and nonce; bounds what an unknown peer can make a host buffer. */
  private static final long MAX_HANDSHAKE_BYTES = 1024;

  private boolean authenticated;

  FrameDecoder() {
    super(MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES);
  }

  void setAuthenticated() {
    authenticated = true;
  }

  @Override
  protected long getUnadjustedFrameLength(ByteBuf buf, int offset, int length, ByteOrder order) {
    long frameLength = super.getUnadjustedFrameLength(buf, offset, length, order);
    if (!authenticated && frameLength > MAX_HANDSHAKE_BYTES) {
      throw new TooLongFrameException("handshake frame too long: " + frameLength + " bytes");
    }
    return frameLength;
  }
}
