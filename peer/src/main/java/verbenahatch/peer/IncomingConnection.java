package verbenahatch.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import verbenahatch.peer.generated.Envelope;

/** Answers the requests of one peer. */
final class IncomingConnection extends LinkConnection {

  /** Above this number of unanswered requests the connection is not read, which slows the peer. */
  private static final int MAX_RUNNING = 256;

  private static final byte[] NO_BODY = {};

  private final EventLoop loop;
  private final String ownIncarnation;
  private final Map<MessageKind, PeerHandler> handlers;
  private String sender = "";
  private int running;

  IncomingConnection(
      LinkContext context,
      EventLoop loop,
      String ownIncarnation,
      Map<MessageKind, PeerHandler> handlers) {
    super(context, false);
    this.loop = loop;
    this.ownIncarnation = ownIncarnation;
    this.handlers = handlers;
  }

  @Override
  String ownIncarnation() {
    return ownIncarnation;
  }

  @Override
  void opened(String peerIncarnation) {
    sender = peerIncarnation;
  }

  @Override
  void received(Envelope envelope, int frameBytes) {
    MessageKind kind = kindOf(envelope.getKind());
    context().metrics().countIn(kind, frameBytes);
    if (envelope.getAnswer()) {
      return;
    }
    running++;
    updateReading();
    PeerHandler handler = kind == null ? null : handlers.get(kind);
    if (kind == null || handler == null) {
      answer(envelope, NO_BODY, "no handler for kind " + envelope.getKind());
    } else if (!context().lanes().run(kind, () -> run(handler, envelope))) {
      answer(envelope, NO_BODY, "too many requests are queued");
    }
  }

  /** Runs on a lane. */
  private void run(PeerHandler handler, Envelope request) {
    CompletableFuture<byte[]> result;
    try {
      result = handler.handle(sender, request.getBody().toByteArray());
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    result.whenComplete((body, failure) -> loop.execute(() -> finish(request, body, failure)));
  }

  private void finish(Envelope request, byte @Nullable [] body, @Nullable Throwable failure) {
    if (failure != null || body == null) {
      String text = failure == null ? null : failure.getMessage();
      answer(request, NO_BODY, text == null || text.isEmpty() ? "refused" : text);
    } else if (body.length > FrameDecoder.MAX_FRAME_BYTES - OVERHEAD_BYTES) {
      answer(request, NO_BODY, "the answer has " + body.length + " bytes");
    } else {
      answer(request, body, null);
    }
  }

  private void answer(Envelope request, byte[] body, @Nullable String refusal) {
    running--;
    send(request.getKind(), request.getCorrelationId(), true, body, refusal);
    updateReading();
  }

  private void updateReading() {
    setReading(running < MAX_RUNNING && isWritable());
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    updateReading();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent) {
      close();
    }
  }

  @Override
  void closed() {
    // The link counts the channel itself, and a request still running has nobody to answer.
  }
}
