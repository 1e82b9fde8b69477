package verbenahatch.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.Result;

/**
 * Connects hosts over TCP with authenticated protobuf frames.
 *
 * <p>Calls to one peer share one connection, opened by the first call. Handlers and completions run
 * on threads of the link, never on its event loops; requests from one peer may be handled out of
 * order. Thread-safe.
 */
public final class NettyPeerLink implements PeerLink {

  /** Two event loops carry the pulses of the largest fleet; handlers run elsewhere. */
  private static final int EVENT_LOOPS = 2;

  /** Longer than the idle time of callers, so that the side that calls closes first. */
  private static final int READER_IDLE_SECONDS = 120;

  /** Several times the number of hosts in the largest fleet; a stranger cannot use up memory. */
  private static final int MAX_INCOMING = 2048;

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Shows the link in the state dump.
   *
   * @param address where the link listens
   * @param incarnation the current incarnation id
   * @param incoming the number of accepted connections
   * @param outgoing the connections to peers
   * @param silentConnectionsClosed how many connections were replaced because of silence
   * @param traffic messages and bytes by kind
   */
  public record View(
      PeerAddress address,
      String incarnation,
      int incoming,
      List<?> outgoing,
      long silentConnectionsClosed,
      Map<String, ?> traffic) {}

  private final LinkContext context;
  private final EventLoopGroup loops;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<PeerAddress, OutgoingConnection> outgoing = new ConcurrentHashMap<>();
  private final Map<MessageKind, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final AtomicInteger incoming = new AtomicInteger();
  private final PeerAddress localAddress;
  private volatile String incarnation;
  private volatile boolean closed;

  private NettyPeerLink(LinkContext context, String incarnation) throws IOException {
    this.context = context;
    this.incarnation = incarnation;
    this.loops =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOPS,
            new DefaultThreadFactory("verbenahatch-peer-io", true),
            NioIoHandler.newFactory());
    this.localAddress = bind();
  }

  /**
   * Opens a link that listens.
   *
   * @param options the address, the secret and the bounds
   * @param incarnation the incarnation id of the process
   * @param clock the clock of the process
   * @param events the log of the process
   * @param metrics the registry that receives the counters of the link
   * @return the link, to be closed by the caller
   * @throws IOException if the port cannot be opened, for example because it is taken
   */
  public static NettyPeerLink listen(
      LinkOptions options,
      String incarnation,
      Clock clock,
      Events events,
      PrometheusRegistry metrics)
      throws IOException {
    LinkContext context =
        new LinkContext(options, clock, events, new LinkMetrics(metrics), new Lanes());
    NettyPeerLink link = new NettyPeerLink(context, incarnation);
    events.log(PeerEvent.LISTENING, link.localAddress);
    return link;
  }

  private PeerAddress bind() throws IOException {
    PeerAddress wanted = context.options().listen();
    int buffer = context.options().maxWriteBufferBytes();
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(buffer / 2, buffer))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(wanted.address(), wanted.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      close();
      throw new IOException(
          "cannot listen on " + wanted.address() + ":" + wanted.port(), bound.cause());
    }
    channels.add(bound.channel());
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    return new PeerAddress(wanted.address(), port);
  }

  private void accept(Channel channel) {
    if (closed || incoming.incrementAndGet() > MAX_INCOMING) {
      incoming.decrementAndGet();
      channel.close();
      return;
    }
    channels.add(channel);
    channel.closeFuture().addListener(done -> incoming.decrementAndGet());
    new IncomingConnection(context, channel.eventLoop(), incarnation, handlers)
        .install(channel, READER_IDLE_SECONDS, 0);
  }

  @Override
  public CompletableFuture<Result<byte[], PeerError>> call(
      PeerAddress to, MessageKind kind, byte[] body, Duration timeout) {
    if (body.length > FrameDecoder.MAX_FRAME_BYTES - LinkConnection.OVERHEAD_BYTES) {
      return notSent("the request has " + body.length + " bytes");
    }
    if (closed) {
      return notSent("link is closed");
    }
    PendingCall call = new PendingCall(kind, body, timeout);
    submit(to, call);
    return call.answer();
  }

  private void submit(PeerAddress to, PendingCall call) {
    OutgoingConnection connection =
        outgoing.compute(
            to, (key, old) -> old != null && !old.isFinished() ? old : newConnection(key));
    connection.start();
    connection.submit(call);
  }

  private static CompletableFuture<Result<byte[], PeerError>> notSent(String reason) {
    return CompletableFuture.completedFuture(Result.err(new PeerError.NotSent(reason)));
  }

  private OutgoingConnection newConnection(PeerAddress to) {
    return new OutgoingConnection(
        context,
        loops.next(),
        to,
        () -> incarnation,
        connection -> outgoing.remove(connection.to(), connection),
        call -> submit(to, call));
  }

  @Override
  public void handle(MessageKind kind, PeerHandler handler) {
    handlers.put(kind, handler);
  }

  @Override
  public PeerAddress localAddress() {
    return localAddress;
  }

  @Override
  public String incarnation() {
    return incarnation;
  }

  @Override
  public void setIncarnation(String incarnation) {
    this.incarnation = incarnation;
    // The id is proven once per connection, so calls under the new id need new connections.
    for (OutgoingConnection connection : List.copyOf(outgoing.values())) {
      outgoing.remove(connection.to(), connection);
      connection.retire();
    }
  }

  /**
   * Describes the link for the state dump.
   *
   * @return the current view
   */
  public View view() {
    return new View(
        localAddress,
        incarnation,
        incoming.get(),
        outgoing.values().stream().map(OutgoingConnection::view).toList(),
        context.metrics().closed("silent"),
        context.metrics().traffic());
  }

  /** Closes every connection; pending calls complete with an error. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    channels.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    outgoing.values().forEach(OutgoingConnection::abort);
    loops
        .shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    context.lanes().close();
  }
}
