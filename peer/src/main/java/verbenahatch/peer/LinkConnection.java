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
 * Authenticates one connection and seals its frames; subclasses add what callers and callees do.
 *
 * <p>All methods run on the event loop of the connection unless they say otherwise.
 */
abstract class LinkConnection extends SimpleChannelInboundHandler<ByteBuf> {

  /** Upper bound of what the envelope, its seal and the length prefix add to a body, in bytes. */
  static final int OVERHEAD_BYTES = 128;

  private static final int MAX_REFUSAL_CHARS = 200;

  private enum Phase {
    HELLO,
    PROOF,
    OPEN,
    FAILED
  }

  private final LinkContext context;
  private final boolean caller;
  private final FrameDecoder decoder = new FrameDecoder();
  private Phase phase = Phase.HELLO;
  private @Nullable Channel channel;
  private @Nullable Handshake handshake;
  private @Nullable FrameSeal outgoing;
  private @Nullable FrameSeal incoming;

  LinkConnection(LinkContext context, boolean caller) {
    this.context = context;
    this.caller = caller;
  }

  /** Returns the incarnation id to prove, read when the connection opens. */
  abstract String ownIncarnation();

  /** Runs once both sides are authenticated. */
  abstract void opened(String peerIncarnation);

  /** Runs for each valid frame. */
  abstract void received(Envelope envelope, int frameBytes);

  /** Runs once the connection is closed or could not be opened. */
  abstract void closed();

  /** Installs the handlers of a new channel. */
  final void install(Channel target, int readerIdleSeconds, int allIdleSeconds) {
    target
        .pipeline()
        .addLast(new IdleStateHandler(readerIdleSeconds, 0, allIdleSeconds))
        .addLast(decoder)
        .addLast(new LengthFieldPrepender(FrameDecoder.PREFIX_BYTES))
        .addLast(this);
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    channel = ctx.channel();
    handshake = new Handshake(context.options().secret(), caller, ownIncarnation());
    long limit = context.options().connectTimeout().toNanos();
    var unused = ctx.executor().schedule(this::closeUnlessOpen, limit, TimeUnit.NANOSECONDS);
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
    int frameBytes = bytes.length + FrameDecoder.PREFIX_BYTES;
    switch (phase) {
      case HELLO -> {
        context.metrics().countIn(null, frameBytes);
        acceptHello(bytes);
      }
      case PROOF -> {
        context.metrics().countIn(null, frameBytes);
        acceptProof(bytes);
      }
      case OPEN -> received(Objects.requireNonNull(incoming).open(bytes), frameBytes);
      default -> {
        // Frames that were read together with a bad one are dropped with the connection.
      }
    }
  }

  private void acceptHello(byte[] bytes) throws LinkException {
    Handshake current = Objects.requireNonNull(handshake);
    current.acceptHello(bytes);
    phase = Phase.PROOF;
    sendHandshake(caller ? current.proof() : current.hello());
  }

  private void acceptProof(byte[] bytes) throws LinkException {
    Handshake current = Objects.requireNonNull(handshake);
    current.acceptProof(bytes);
    if (!caller) {
      sendHandshake(current.proof());
    }
    outgoing = current.outgoingSeal();
    incoming = current.incomingSeal();
    handshake = null;
    phase = Phase.OPEN;
    decoder.setAuthenticated();
    opened(current.peerIncarnation());
  }

  private void sendHandshake(byte[] bytes) {
    context.metrics().countOut(null, bytes.length + FrameDecoder.PREFIX_BYTES);
    Objects.requireNonNull(channel).writeAndFlush(Unpooled.wrappedBuffer(bytes));
  }

  /** Seals and writes one frame; the caller has checked its size. */
  final void send(
      int kind, long correlationId, boolean answer, byte[] body, @Nullable String refusal) {
    if (!isOpen()) {
      return;
    }
    Envelope.Builder envelope =
        Envelope.newBuilder().setKind(kind).setCorrelationId(correlationId).setAnswer(answer);
    envelope.setBody(body.length == 0 ? ByteString.EMPTY : UnsafeByteOperations.unsafeWrap(body));
    if (refusal != null) {
      envelope.setRefusal(
          refusal.length() > MAX_REFUSAL_CHARS ? refusal.substring(0, MAX_REFUSAL_CHARS) : refusal);
    }
    byte[] bytes = Objects.requireNonNull(outgoing).seal(envelope);
    context.metrics().countOut(kindOf(kind), bytes.length + FrameDecoder.PREFIX_BYTES);
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
    phase = Phase.FAILED;
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
    phase = Phase.FAILED;
    closed();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    boolean stranger = handshake != null;
    phase = Phase.FAILED;
    if (cause instanceof LinkException fault) {
      report(ctx, fault.reason(), String.valueOf(fault.getMessage()));
    } else if (cause instanceof TooLongFrameException) {
      report(ctx, stranger ? Reason.STRANGER : Reason.OVERSIZED, String.valueOf(cause));
    }
    // Anything else is a broken connection, which the peer's restart explains.
    ctx.close();
  }

  private void report(ChannelHandlerContext ctx, Reason reason, String message) {
    context.metrics().countClosed(reason.name().toLowerCase(Locale.ROOT));
    PeerEvent event =
        reason == Reason.STRANGER ? PeerEvent.STRANGER_REFUSED : PeerEvent.FRAME_REFUSED;
    context.events().log(event, ctx.channel().remoteAddress(), message);
  }
}
