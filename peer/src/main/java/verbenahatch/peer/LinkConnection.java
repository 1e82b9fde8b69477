package verbenahatch.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.peer.LinkException.Reason;
import verbenahatch.peer.generated.Envelope;

/**
 * Authenticates one connection, then seals and verifies its frames. Subclasses implement the side
 * of the caller and that of the callee.
 *
 * <p>All methods run on the event loop of the connection unless their comment says otherwise.
 */
abstract class LinkConnection extends SimpleChannelInboundHandler<ByteBuf> {

  /** Upper bound on the bytes that the envelope, its seal and the length prefix add to a body. */
  static final int MAX_OVERHEAD_BYTES = 128;

  private static final int MAX_REFUSAL_CHARS = 200;

  private enum Phase {
    HELLO,
    PROOF,
    OPEN,
    CLOSED
  }

  private final LinkContext context;
  private final boolean caller;
  private final FrameDecoder decoder = new FrameDecoder();
  private Phase phase = Phase.HELLO;
  private @Nullable Channel channel;
  private @Nullable Handshake handshake;
  private @Nullable FrameSeal outgoingSeal;
  private @Nullable FrameSeal incomingSeal;

  LinkConnection(LinkContext context, boolean caller) {
    this.context = context;
    this.caller = caller;
  }

  /** Returns the incarnation id to authenticate with; called once, when the channel connects. */
  abstract String ownIncarnation();

  /** Called once both sides are authenticated. */
  abstract void opened(String peerIncarnation);

  /** Called for each valid frame; {@code frameBytes} includes the length prefix. */
  abstract void received(Envelope envelope, int frameBytes);

  /** Called when the connection is closed or could not be opened; may be called repeatedly. */
  abstract void closed();

  /** Installs the handlers of a new channel; an idle time of 0 seconds disables its check. */
  final void install(Channel newChannel, int readerIdleSeconds, int allIdleSeconds) {
    newChannel
        .pipeline()
        .addLast(new IdleStateHandler(readerIdleSeconds, 0, allIdleSeconds))
        .addLast(decoder)
        .addLast(new LengthFieldPrepender(FrameDecoder.LENGTH_PREFIX_BYTES))
        .addLast(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    handshake = new Handshake(context.options().secret(), caller, ownIncarnation());
    long timeoutNanos = context.options().connectTimeout().toNanos();
    var unused = ctx.executor().schedule(this::closeUnlessOpen, timeoutNanos, TimeUnit.NANOSECONDS);
    if (caller) {
      sendHandshake(handshake.hello());
    }
  }

  private void closeUnlessOpen() {
    if (!isOpen()) {
      close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) throws LinkException {
    byte[] bytes = ByteBufUtil.getBytes(frame);
    int frameBytes = bytes.length + FrameDecoder.LENGTH_PREFIX_BYTES;
    switch (phase) {
      case HELLO -> {
        context.metrics().countIn(null, frameBytes);
        acceptHello(bytes);
      }
      case PROOF -> {
        context.metrics().countIn(null, frameBytes);
        acceptProof(bytes);
      }
      case OPEN -> received(Objects.requireNonNull(incomingSeal).open(bytes), frameBytes);
      default -> {
        // Frames that were read together with an invalid one are dropped with the connection.
      }
    }
  }

  private void acceptHello(byte[] bytes) throws LinkException {
    Handshake activeHandshake = Objects.requireNonNull(handshake);
    activeHandshake.acceptHello(bytes);
    phase = Phase.PROOF;
    sendHandshake(caller ? activeHandshake.proof() : activeHandshake.hello());
  }

  private void acceptProof(byte[] bytes) throws LinkException {
    Handshake activeHandshake = Objects.requireNonNull(handshake);
    activeHandshake.acceptProof(bytes);
    if (!caller) {
      sendHandshake(activeHandshake.proof());
    }
    outgoingSeal = activeHandshake.outgoingSeal();
    incomingSeal = activeHandshake.incomingSeal();
    handshake = null;
    phase = Phase.OPEN;
    decoder.setAuthenticated();
    opened(activeHandshake.peerIncarnation());
  }

  private void sendHandshake(byte[] bytes) {
    context.metrics().countOut(null, bytes.length + FrameDecoder.LENGTH_PREFIX_BYTES);
    Objects.requireNonNull(channel).writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  /** Seals and writes one frame if the connection is open; the size of the body must be checked. */
  final void send(
      int kind, long correlationId, boolean response, byte[] body, @Nullable String refusal) {
    if (!isOpen()) {
      return;
    }
    Envelope.Builder envelope =
        Envelope.newBuilder().setKind(kind).setCorrelationId(correlationId).setAnswer(response);
    envelope.setBody(body.length == 0 ? ByteString.EMPTY : UnsafeByteOperations.unsafeWrap(body));
    if (refusal != null) {
      envelope.setRefusal(
          refusal.length() > MAX_REFUSAL_CHARS ? refusal.substring(0, MAX_REFUSAL_CHARS) : refusal);
    }
    byte[] bytes = Objects.requireNonNull(outgoingSeal).seal(envelope);
    context.metrics().countOut(kindOf(kind), bytes.length + FrameDecoder.LENGTH_PREFIX_BYTES);
    Objects.requireNonNull(channel).writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  final boolean isOpen() {
    return phase == Phase.OPEN;
  }

  final boolean isWritable() {
    return channel != null && channel.isWritable();
  }

  final void setReading(boolean reading) {
    if (channel != null) {
      channel.config().setAutoRead(reading);
    }
  }

  final void close() {
    phase = Phase.CLOSED;
    if (channel != null) {
      channel.close();
    }
  }

  final LinkContext context() {
    return context;
  }

  static @Nullable MessageKind kindOf(int number) {
    for (MessageKind kind : MessageKind.values()) {
      if (kind.number() == number) {
        return kind;
      }
    }
    return null;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    phase = Phase.CLOSED;
    closed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    boolean unauthenticated = handshake != null;
    phase = Phase.CLOSED;
    if (cause instanceof LinkException fault) {
      report(ctx, fault.reason(), String.valueOf(fault.getMessage()));
    } else if (cause instanceof TooLongFrameException) {
      report(ctx, unauthenticated ? Reason.STRANGER : Reason.OVERSIZED, String.valueOf(cause));
    }
    // Any other cause is a broken connection, as when the peer restarts, and is not reported.
    ctx.close();
  }

  private void report(ChannelHandlerContext ctx, Reason reason, String message) {
    context.metrics().countClosed(reason.name().toLowerCase(Locale.ROOT));
    PeerEvent event =
        reason == Reason.STRANGER ? PeerEvent.UNKNOWN_PEER_REFUSED : PeerEvent.FRAME_REFUSED;
    context.events().log(event, ctx.channel().remoteAddress(), message);
  }
}
