package verbenahatch.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.Envelope;

/** Sends the requests to one peer over one connection and matches the responses to them. */
final class OutgoingConnection extends LinkConnection {

  /**
   * Shorter than the idle time after which the peer closes, so that no request is sent to a
   * connection that the peer closes.
   */
  private static final int IDLE_TIMEOUT_SECONDS = 60;

  /**
   * A single timeout may be due to a slow handler; two timeouts without any received frame are
   * treated as a lost connection.
   */
  private static final int MAX_TIMEOUTS_WITHOUT_FRAME = 2;

  /** State of a connection as the state dump shows it. */
  record View(String address, boolean open, String incarnation, int calls, int timeoutsInSilence) {}

  private final EventLoop eventLoop;
  private final PeerAddress to;
  private final Supplier<String> ownIncarnation;
  private final Consumer<OutgoingConnection> onClose;
  private final Consumer<PendingRequest> resubmit;
  private final AtomicBoolean connectStarted = new AtomicBoolean();
  private final AtomicInteger pending = new AtomicInteger();
  private final Deque<PendingRequest> unsent = new ArrayDeque<>();
  private final Map<Long, PendingRequest> awaitingResponse = new HashMap<>();
  private long lastCorrelationId;
  private long lastReceivedNanos;
  private volatile int timeoutsWithoutFrame;
  private volatile String peerIncarnation = "";
  private boolean retired;
  private volatile boolean finished;

  OutgoingConnection(
      LinkContext context,
      EventLoop eventLoop,
      PeerAddress to,
      Supplier<String> ownIncarnation,
      Consumer<OutgoingConnection> onClose,
      Consumer<PendingRequest> resubmit) {
    super(context, true);
    this.eventLoop = eventLoop;
    this.to = to;
    this.ownIncarnation = ownIncarnation;
    this.onClose = onClose;
    this.resubmit = resubmit;
  }

  /** Connects, unless an earlier call did; may be called by any thread. */
  void start() {
    if (!connectStarted.compareAndSet(false, true)) {
      return;
    }
    LinkOptions options = context().options();
    int bufferBytes = options.maxWriteBufferBytes();
    ChannelFuture connecting =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectTimeout().toMillis())
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(bufferBytes / 2, bufferBytes))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    install(channel, 0, IDLE_TIMEOUT_SECONDS);
                  }
                })
            .connect(to.address(), to.port());
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            closed();
          }
        });
  }

  /** Sends a request or completes it with an error; may be called by any thread. */
  void submit(PendingRequest request) {
    if (pending.incrementAndGet() > context().options().maxPendingRequests()) {
      finish(request, new PeerError.NotSent("too many pending requests to " + to));
      return;
    }
    try {
      eventLoop.execute(() -> accept(request));
    } catch (RejectedExecutionException e) {
      finish(request, new PeerError.NotSent("link is closed"));
    }
  }

  /** Closes the connection once pending requests are complete; may be called by any thread. */
  void retire() {
    eventLoop.execute(
        () -> {
          retired = true;
          closeIfRetired();
        });
  }

  /** Closes the connection at once; pending requests fail. May be called by any thread. */
  void abort() {
    eventLoop.execute(
        () -> {
          close();
          closed();
        });
  }

  private void accept(PendingRequest request) {
    if (finished && request.claimResubmission()) {
      pending.decrementAndGet();
      resubmit.accept(request);
      return;
    }
    if (finished) {
      finish(request, new PeerError.NotSent("connection to " + to + " closed"));
      return;
    }
    request.setExpiry(
        eventLoop.schedule(
            () -> expire(request), request.timeout().toNanos(), TimeUnit.NANOSECONDS));
    if (isOpen()) {
      transmit(request);
    } else {
      unsent.add(request);
    }
  }

  private void transmit(PendingRequest request) {
    if (!isWritable()) {
      finish(request, new PeerError.NotSent("write buffer to " + to + " is full"));
      return;
    }
    long id = ++lastCorrelationId;
    request.markSent(id, context().clock().nanoTime());
    awaitingResponse.put(id, request);
    send(request.kind().number(), id, false, request.body(), null);
  }

  private void expire(PendingRequest request) {
    if (unsent.remove(request)) {
      finish(request, new PeerError.NotSent("no connection to " + to + " before the timeout"));
      return;
    }
    if (awaitingResponse.remove(request.correlationId()) == null) {
      return;
    }
    countTimeout(request);
    finish(request, new PeerError.NoResponse("no response from " + to + " before the timeout"));
  }

  /**
   * Counts a timeout without any frame received since the request was sent. Closes the connection
   * if there were too many, before the request completes, so that the next request gets a new
   * connection.
   */
  private void countTimeout(PendingRequest request) {
    if (lastReceivedNanos - request.sentNanos() >= 0) {
      return;
    }
    timeoutsWithoutFrame++;
    if (timeoutsWithoutFrame >= MAX_TIMEOUTS_WITHOUT_FRAME && !finished) {
      context().metrics().countClosed("silent");
      context().events().log(PeerEvent.CONNECTION_SILENT, to, timeoutsWithoutFrame);
      close();
      closed();
    }
  }

  @Override
  String ownIncarnation() {
    return ownIncarnation.get();
  }

  @Override
  void opened(String incarnation) {
    peerIncarnation = incarnation;
    lastReceivedNanos = context().clock().nanoTime();
    for (PendingRequest request = unsent.poll(); request != null; request = unsent.poll()) {
      transmit(request);
    }
  }

  @Override
  void received(Envelope envelope, int frameBytes) {
    context().metrics().countIn(kindOf(envelope.getKind()), frameBytes);
    lastReceivedNanos = context().clock().nanoTime();
    timeoutsWithoutFrame = 0;
    PendingRequest request =
        envelope.getAnswer() ? awaitingResponse.get(envelope.getCorrelationId()) : null;
    if (request == null || request.kind().number() != envelope.getKind()) {
      return;
    }
    awaitingResponse.remove(envelope.getCorrelationId());
    if (envelope.getRefusal().isEmpty()) {
      finish(request, Result.ok(envelope.getBody().toByteArray()));
    } else {
      finish(request, new PeerError.Refused(envelope.getRefusal()));
    }
  }

  private void finish(PendingRequest request, PeerError error) {
    finish(request, Result.err(error));
  }

  private void finish(PendingRequest request, Result<byte[], PeerError> result) {
    pending.decrementAndGet();
    request.complete(context().executors(), result);
    if (eventLoop.inEventLoop()) {
      closeIfRetired();
    }
  }

  private void closeIfRetired() {
    if (retired && awaitingResponse.isEmpty() && unsent.isEmpty()) {
      close();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent && pending.get() == 0) {
      close();
    }
  }

  @Override
  void closed() {
    if (finished) {
      return;
    }
    finished = true;
    onClose.accept(this);
    for (PendingRequest request : List.copyOf(unsent)) {
      unsent.remove(request);
      finish(request, new PeerError.NotSent("no connection to " + to));
    }
    for (PendingRequest request : List.copyOf(awaitingResponse.values())) {
      awaitingResponse.remove(request.correlationId());
      finish(request, new PeerError.NoResponse("connection to " + to + " closed"));
    }
  }

  PeerAddress to() {
    return to;
  }

  /** Returns whether the connection is closed or failed to open; may be called by any thread. */
  boolean isFinished() {
    return finished;
  }

  /** Returns the state of the connection for the state dump; may be called by any thread. */
  View view() {
    String incarnation = peerIncarnation;
    return new View(
        to.address() + ":" + to.port(),
        !incarnation.isEmpty(),
        incarnation,
        pending.get(),
        timeoutsWithoutFrame);
  }
}
