package verbenahatch.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import verbenahatch.peer.generated.Envelope;

/** Handles the requests that a peer sends over one accepted connection. */
final class IncomingConnection extends LinkConnection {

  /** With this many requests in flight the connection is not read, which slows down the peer. */
  private static final int MAX_IN_FLIGHT = 256;

  private static final byte[] EMPTY_BODY = {};

  private final EventLoop eventLoop;
  private final String ownIncarnation;
  private final Map<MessageKind, PeerHandler> handlers;
  private String senderIncarnation = "";
  private int inFlight;

  IncomingConnection(
      LinkContext context,
      EventLoop eventLoop,
      String ownIncarnation,
      Map<MessageKind, PeerHandler> handlers) {
    super(context, false);
    this.eventLoop = eventLoop;
    this.ownIncarnation = ownIncarnation;
    this.handlers = handlers;
  }

  @Override
  String ownIncarnation() {
    return ownIncarnation;
  }

  @Override
  void opened(String peerIncarnation) {
    senderIncarnation = peerIncarnation;
  }

  @Override
  void received(Envelope envelope, int frameBytes) {
    MessageKind kind = kindOf(envelope.getKind());
    context().metrics().countIn(kind, frameBytes);
    if (envelope.getAnswer()) {
      return;
    }
    inFlight++;
    updateReading();
    PeerHandler handler = kind == null ? null : handlers.get(kind);
    if (kind == null || handler == null) {
      respond(envelope, EMPTY_BODY, "no handler for kind " + envelope.getKind());
    } else if (!context().executors().execute(kind, () -> callHandler(handler, envelope))) {
      respond(envelope, EMPTY_BODY, "too many requests are queued");
    }
  }

  /** Calls the handler; runs on a thread of {@link LinkExecutors}. */
  private void callHandler(PeerHandler handler, Envelope request) {
    CompletableFuture<byte[]> result;
    try {
      result = handler.handle(senderIncarnation, request.getBody().toByteArray());
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    result.whenComplete((body, failure) -> eventLoop.execute(() -> finish(request, body, failure)));
  }

  private void finish(Envelope request, byte @Nullable [] body, @Nullable Throwable failure) {
    if (failure != null || body == null) {
      String message = failure == null ? null : failure.getMessage();
      respond(request, EMPTY_BODY, message == null || message.isEmpty() ? "refused" : message);
    } else if (body.length > FrameDecoder.MAX_FRAME_BYTES - MAX_OVERHEAD_BYTES) {
      respond(request, EMPTY_BODY, "the answer has " + body.length + " bytes");
    } else {
      respond(request, body, null);
    }
  }

  private void respond(Envelope request, byte[] body, @Nullable String refusal) {
    inFlight--;
    send(request.getKind(), request.getCorrelationId(), true, body, refusal);
    updateReading();
  }

  private void updateReading() {
    setReading(inFlight < MAX_IN_FLIGHT && isWritable());
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
    // The link itself counts open channels, and the response to a request in flight cannot be sent.
  }
}
