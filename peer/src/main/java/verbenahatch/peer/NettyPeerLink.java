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
 * <p>Requests to one peer share one connection, which the first request opens. Handlers and
 * completions run on threads of the link, never on its event loops; requests from one peer may be
 * handled out of order. Thread-safe.
 */
public final class NettyPeerLink implements PeerLink {

  /**
   * Two event loops are enough for the heartbeats of the largest fleet; handlers run on other
   * threads.
   */
  private static final int EVENT_LOOPS = 2;

  /** Longer than the idle timeout of callers, so that the caller closes the connection first. */
  private static final int READER_IDLE_SECONDS = 120;

  /**
   * Several times the number of hosts in the largest fleet, so that unknown peers cannot exhaust
   * the memory.
   */
  private static final int MAX_INCOMING_CONNECTIONS = 2048;

  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

  /**
   * State of the link as the state dump shows it.
   *
   * @param address the address and port on which the link listens
   * @param incarnation the current incarnation id
   * @param incoming the number of open connections that were accepted
   * @param outgoing the connections to peers
   * @param silentConnectionsClosed the number of connections closed because requests timed out
   *     while nothing was received
   * @param traffic the numbers of messages and bytes by kind of message
   */
  public record View(
      PeerAddress address,
      String incarnation,
      int incoming,
      List<?> outgoing,
      long silentConnectionsClosed,
      Map<String, ?> traffic) {}

  private final LinkContext context;
  private final EventLoopGroup eventLoops;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Map<PeerAddress, OutgoingConnection> openOutgoing = new ConcurrentHashMap<>();
  private final Map<MessageKind, PeerHandler> handlers = new ConcurrentHashMap<>();
  private final AtomicInteger openIncoming = new AtomicInteger();
  private final PeerAddress localAddress;
  private volatile String incarnation;
  private volatile boolean closed;

  private NettyPeerLink(LinkContext context, String incarnation) throws IOException {
    this.context = context;
    this.incarnation = incarnation;
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(
            EVENT_LOOPS,
            new DefaultThreadFactory("verbenahatch-peer-io", true),
            NioIoHandler.newFactory());
    this.localAddress = bind();
  }

  /**
   * Opens a link that listens for connections of other hosts.
   *
   * @param options the address, the secret and the limits
   * @param incarnation the incarnation id of the process
   * @param clock the clock of the process
   * @param events the log of the process
   * @param metrics the registry that receives the counters of the link
   * @return the link, to be closed by the caller
   * @throws IOException if the port cannot be opened, for example because it is in use
   */
  public static NettyPeerLink listen(
      LinkOptions options,
      String incarnation,
      Clock clock,
      Events events,
      PrometheusRegistry metrics)
      throws IOException {
    LinkContext context =
        new LinkContext(options, clock, events, new LinkMetrics(metrics), new LinkExecutors());
    NettyPeerLink link = new NettyPeerLink(context, incarnation);
    events.log(PeerEvent.LISTENING, link.localAddress);
    return link;
  }

  private PeerAddress bind() throws IOException {
    PeerAddress requestedAddress = context.options().listen();
    int bufferBytes = context.options().maxWriteBufferBytes();
    ChannelFuture binding =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(bufferBytes / 2, bufferBytes))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(requestedAddress.address(), requestedAddress.port())
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      close();
      throw new IOException(
          "cannot listen on " + requestedAddress.address() + ":" + requestedAddress.port(),
          binding.cause());
    }
    channels.add(binding.channel());
    int port = ((InetSocketAddress) binding.channel().localAddress()).getPort();
    return new PeerAddress(requestedAddress.address(), port);
  }

  private void accept(Channel channel) {
    if (closed || openIncoming.incrementAndGet() > MAX_INCOMING_CONNECTIONS) {
      openIncoming.decrementAndGet();
      channel.close();
      return;
    }
    channels.add(channel);
    channel.closeFuture().addListener(done -> openIncoming.decrementAndGet());
    new IncomingConnection(context, channel.eventLoop(), incarnation, handlers)
        .install(channel, READER_IDLE_SECONDS, 0);
  }

  @Override
  public CompletableFuture<Result<byte[], PeerError>> call(
      PeerAddress to, MessageKind kind, byte[] body, Duration timeout) {
    if (body.length > FrameDecoder.MAX_FRAME_BYTES - LinkConnection.MAX_OVERHEAD_BYTES) {
      return notSent("request too large: " + body.length + " bytes");
    }
    if (closed) {
      return notSent("link is closed");
    }
    PendingRequest request = new PendingRequest(kind, body, timeout);
    submit(to, request);
    return request.response();
  }

  private void submit(PeerAddress to, PendingRequest request) {
    OutgoingConnection connection =
        openOutgoing.compute(
            to,
            (peer, existing) ->
                existing != null && !existing.isFinished() ? existing : newConnection(peer));
    connection.start();
    connection.submit(request);
  }

  private static CompletableFuture<Result<byte[], PeerError>> notSent(String reason) {
    return CompletableFuture.completedFuture(Result.err(new PeerError.NotSent(reason)));
  }

  private OutgoingConnection newConnection(PeerAddress to) {
    return new OutgoingConnection(
        context,
        eventLoops.next(),
        to,
        () -> incarnation,
        connection -> openOutgoing.remove(connection.to(), connection),
        request -> submit(to, request));
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
    // The id is authenticated once per connection, so a new id needs new connections.
    for (OutgoingConnection connection : List.copyOf(openOutgoing.values())) {
      openOutgoing.remove(connection.to(), connection);
      connection.retire();
    }
  }

  /**
   * Returns the state of the link for the state dump.
   *
   * @return the state at the time of the call
   */
  public View view() {
    return new View(
        localAddress,
        incarnation,
        openIncoming.get(),
        openOutgoing.values().stream().map(OutgoingConnection::view).toList(),
        context.metrics().closed("silent"),
        context.metrics().traffic());
  }

  /** Closes every connection; pending requests complete with an error. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    channels.close().awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    openOutgoing.values().forEach(OutgoingConnection::abort);
    eventLoops
        .shutdownGracefully(0, CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(CLOSE_TIMEOUT.toMillis());
    context.executors().close();
  }
}
