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

/** Carries the calls to one peer over one connection. */
final class OutgoingConnection extends LinkConnection {

  /** Shorter than the idle time after which the peer closes, so that no call meets that close. */
  private static final int IDLE_SECONDS = 60;

  /** One timeout may be a slow handler; a second one in silence is taken for a dead connection. */
  private static final int MAX_SILENT_TIMEOUTS = 2;

  /** Shows a connection in the state dump. */
  record View(String address, boolean open, String incarnation, int calls, int timeoutsInSilence) {}

  private final EventLoop loop;
  private final PeerAddress to;
  private final Supplier<String> ownIncarnation;
  private final Consumer<OutgoingConnection> onClose;
  private final Consumer<PendingCall> onMissed;
  private final AtomicBoolean started = new AtomicBoolean();
  private final AtomicInteger calls = new AtomicInteger();
  private final Deque<PendingCall> waiting = new ArrayDeque<>();
  private final Map<Long, PendingCall> sent = new HashMap<>();
  private long lastCorrelationId;
  private long lastReceivedNanos;
  private volatile int silentTimeouts;
  private volatile String peerIncarnation = "";
  private boolean retired;
  private volatile boolean finished;

  OutgoingConnection(
      LinkContext context,
      EventLoop loop,
      PeerAddress to,
      Supplier<String> ownIncarnation,
      Consumer<OutgoingConnection> onClose,
      Consumer<PendingCall> onMissed) {
    super(context, true);
    this.loop = loop;
    this.to = to;
    this.ownIncarnation = ownIncarnation;
    this.onClose = onClose;
    this.onMissed = onMissed;
  }

  /** Starts to connect unless that was done; called by any thread. */
  void start() {
    if (!started.compareAndSet(false, true)) {
      return;
    }
    LinkOptions options = context().options();
    int buffer = options.maxWriteBufferBytes();
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectTimeout().toMillis())
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(buffer / 2, buffer))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    install(channel, 0, IDLE_SECONDS);
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

  /** Sends a call, or completes it with an error; called by any thread. */
  void submit(PendingCall call) {
    if (calls.incrementAndGet() > context().options().maxPendingCalls()) {
      finish(call, new PeerError.NotSent("too many pending calls to " + to));
      return;
    }
    try {
      loop.execute(() -> accept(call));
    } catch (RejectedExecutionException e) {
      finish(call, new PeerError.NotSent("link is closed"));
    }
  }

  /** Lets pending calls end and then closes the connection; called by any thread. */
  void retire() {
    loop.execute(
        () -> {
          retired = true;
          closeIfRetired();
        });
  }

  /** Closes the connection at once; called by any thread. */
  void abort() {
    loop.execute(
        () -> {
          close();
          closed();
        });
  }

  private void accept(PendingCall call) {
    if (finished && call.mayMove()) {
      calls.decrementAndGet();
      onMissed.accept(call);
      return;
    }
    if (finished) {
      finish(call, new PeerError.NotSent("connection to " + to + " closed"));
      return;
    }
    call.expireWith(
        loop.schedule(() -> expire(call), call.timeout().toNanos(), TimeUnit.NANOSECONDS));
    if (isOpen()) {
      transmit(call);
    } else {
      waiting.add(call);
    }
  }

  private void transmit(PendingCall call) {
    if (!isWritable()) {
      finish(call, new PeerError.NotSent("write buffer to " + to + " is full"));
      return;
    }
    long id = ++lastCorrelationId;
    call.sentAs(id, context().clock().nanoTime());
    sent.put(id, call);
    send(call.kind().number(), id, false, call.body(), null);
  }

  private void expire(PendingCall call) {
    if (waiting.remove(call)) {
      finish(call, new PeerError.NotSent("no connection to " + to + " in time"));
      return;
    }
    if (sent.remove(call.correlationId()) == null) {
      return;
    }
    countSilence(call);
    finish(call, new PeerError.NoResponse("no answer from " + to + " in time"));
  }

  /** Closes a silent connection before its call completes, so that the next call gets a new one. */
  private void countSilence(PendingCall call) {
    if (lastReceivedNanos - call.sentNanos() >= 0) {
      return;
    }
    silentTimeouts++;
    if (silentTimeouts >= MAX_SILENT_TIMEOUTS && !finished) {
      context().metrics().countClosed("silent");
      context().events().log(PeerEvent.CONNECTION_SILENT, to, silentTimeouts);
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
    for (PendingCall call = waiting.poll(); call != null; call = waiting.poll()) {
      transmit(call);
    }
  }

  @Override
  void received(Envelope envelope, int frameBytes) {
    context().metrics().countIn(kindOf(envelope.getKind()), frameBytes);
    lastReceivedNanos = context().clock().nanoTime();
    silentTimeouts = 0;
    PendingCall call = envelope.getAnswer() ? sent.get(envelope.getCorrelationId()) : null;
    if (call == null || call.kind().number() != envelope.getKind()) {
      return;
    }
    sent.remove(envelope.getCorrelationId());
    if (envelope.getRefusal().isEmpty()) {
      finish(call, Result.ok(envelope.getBody().toByteArray()));
    } else {
      finish(call, new PeerError.Refused(envelope.getRefusal()));
    }
  }

  private void finish(PendingCall call, PeerError error) {
    finish(call, Result.err(error));
  }

  private void finish(PendingCall call, Result<byte[], PeerError> result) {
    calls.decrementAndGet();
    call.complete(context().lanes(), result);
    if (loop.inEventLoop()) {
      closeIfRetired();
    }
  }

  private void closeIfRetired() {
    if (retired && sent.isEmpty() && waiting.isEmpty()) {
      close();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (event instanceof IdleStateEvent && calls.get() == 0) {
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
    for (PendingCall call : List.copyOf(waiting)) {
      waiting.remove(call);
      finish(call, new PeerError.NotSent("no connection to " + to));
    }
    for (PendingCall call : List.copyOf(sent.values())) {
      sent.remove(call.correlationId());
      finish(call, new PeerError.NoResponse("connection to " + to + " closed"));
    }
  }

  PeerAddress to() {
    return to;
  }

  /** Tells whether the connection is past its end; read by any thread. */
  boolean isFinished() {
    return finished;
  }

  /** Describes the connection; called by any thread. */
  View view() {
    String incarnation = peerIncarnation;
    return new View(
        to.address() + ":" + to.port(),
        !incarnation.isEmpty(),
        incarnation,
        calls.get(),
        silentTimeouts);
  }
}
