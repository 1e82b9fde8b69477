package verbenahatch.steering;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.peer.generated.PeerDatagram;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.quota.Admission;

/**
 * Sends beats to other hosts and takes theirs, as datagrams.
 *
 * <p>A lost datagram is made good by the next one. The work runs on one thread of the channel.
 */
final class PeerLink implements Admission.Transport, AutoCloseable {

  /** The longest datagram that is taken; IP allows no longer ones. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private final SteeringState state;
  private final SteeringSettings settings;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel channel;
  private volatile List<String> seeds;
  private long sequence;
  private int nextFar;
  private volatile byte @Nullable [] lastBeat;

  PeerLink(SteeringState state, SteeringSettings settings) throws InterruptedException {
    this.state = state;
    this.settings = settings;
    this.seeds = settings.seeds();
    channel =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(new Receiver())
            .bind(settings.internalAddress(), settings.peerPort())
            .sync()
            .channel();
    state.quotas.connect(this);
    beat();
    report();
  }

  private void beat() {
    try {
      send();
    } catch (RuntimeException e) {
      state.events.log(SteeringEvent.TASK_FAILED, "beat", e.toString());
    }
    group.schedule(this::beat, pauseMillis(), TimeUnit.MILLISECONDS);
  }

  private long pauseMillis() {
    long period = state.hosts.beatMillis();
    if (state.hosts.isSmallFleet()) {
      return period;
    }
    return pauseMillis(period, settings.zone(), state.clock.wallMillis());
  }

  /**
   * Returns the time until the next beat of a zone.
   *
   * <p>The hosts of a zone send at about the same time, so that others read many beats at once: a
   * wake-up costs a small machine more than a beat.
   */
  static long pauseMillis(long period, String zone, long wallMillis) {
    long phase = Math.floorMod(Hashing.of(zone), period);
    long pause = period - Math.floorMod(wallMillis - phase, period);
    // A timer that fires early must not send twice.
    return pause < period / 4 ? pause + period : pause;
  }

  private void send() {
    state.hosts.refreshShape();
    sequence++;
    Set<String> near = new TreeSet<>(state.hosts.nearAddresses().values());
    List<String> far = List.copyOf(state.hosts.farAddresses().values());
    if (near.isEmpty() && far.isEmpty()) {
      for (String seed : seeds) {
        near.add(seed.substring(0, seed.lastIndexOf(':') + 1) + settings.peerPort());
      }
      near.remove(settings.internalAddress() + ":" + settings.peerPort());
    }
    byte[] beat = PeerDatagram.newBuilder().setBeat(state.beat(sequence)).build().toByteArray();
    lastBeat = beat;
    send(near, beat);
    if (!far.isEmpty()) {
      Set<String> due = new TreeSet<>();
      int most = Math.min(far.size(), state.hosts.farPerBeat());
      for (int i = 0; i < most; i++) {
        due.add(far.get(Math.floorMod(nextFar++, far.size())));
      }
      send(due, beat);
    }
    channel.flush();
  }

  private void send(Set<String> addresses, byte[] bytes) {
    for (String address : addresses) {
      channel.write(packet(address, bytes));
    }
  }

  @Override
  public void send(String address, PeerDatagram datagram) {
    channel.writeAndFlush(packet(address, datagram.toByteArray()));
  }

  private static DatagramPacket packet(String address, byte[] bytes) {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    InetSocketAddress to = new InetSocketAddress(address.substring(0, colon), port);
    return new DatagramPacket(Unpooled.wrappedBuffer(bytes), to);
  }

  @Override
  public void runAfter(long millis, Runnable task) {
    group.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void report() {
    try {
      state.quotas.sendReports();
    } catch (RuntimeException e) {
      state.events.log(SteeringEvent.TASK_FAILED, "report", e.toString());
    }
    runAfter(Admission.reportIntervalMillis(), this::report);
  }

  /** Replaces the hosts that are asked while no other host is known. */
  void useSeeds(List<String> addresses) {
    seeds = addresses;
  }

  /** Sends a beat at once, for example when this host begins to leave. */
  void beatNow() {
    group.execute(this::send);
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        PeerDatagram datagram = PeerDatagram.parseFrom(ByteBufUtil.getBytes(packet.content()));
        if (!datagram.hasBeat()) {
          InetSocketAddress from = packet.sender();
          state.quotas.receive(datagram, from.getHostString() + ":" + from.getPort());
          return;
        }
        byte[] own = lastBeat;
        if (state.hosts.receive(datagram.getBeat()) && own != null) {
          // A process that has just started learns at once whom it may ask.
          context.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(own), packet.sender()));
        }
      } catch (InvalidProtocolBufferException e) {
        state.events.log(SteeringEvent.BEAT_REFUSED, packet.sender(), e.toString());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // An unreachable peer may be reported here; the channel stays open.
      state.events.log(SteeringEvent.BEAT_REFUSED, "channel", cause.toString());
    }
  }

  @Override
  public void close() {
    channel.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
