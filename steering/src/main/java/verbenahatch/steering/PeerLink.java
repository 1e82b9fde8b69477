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
import verbenahatch.peer.generated.HostBeat;
import verbenahatch.peer.generated.PeerDatagram;
import verbenahatch.steering.model.SteeringSettings;
import verbenahatch.steering.quota.Admission;

/**
 * Sends heartbeats to other hosts and receives theirs, as datagrams.
 *
 * <p>A lost datagram is not sent again, because the next one replaces it. All work runs on the one
 * thread of the channel.
 */
final class PeerLink implements Admission.Transport, AutoCloseable {

  /** Longest datagram that is received; IPv4 allows no longer ones. */
  private static final int MAX_DATAGRAM_BYTES = 65_507;

  private final SteeringState state;
  private final SteeringSettings settings;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel channel;
  private volatile List<String> seeds;
  private long sequence;
  private int nextFarIndex;
  private volatile byte @Nullable [] lastHeartbeat;

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
    sendPeriodically();
    reportPeriodically();
  }

  private void sendPeriodically() {
    try {
      sendHeartbeat();
    } catch (RuntimeException | Error e) {
      state.events.log(SteeringEvent.TASK_FAILED, "beat", e.toString());
    }
    group.schedule(this::sendPeriodically, delayMillis(), TimeUnit.MILLISECONDS);
  }

  private long delayMillis() {
    long period = state.hosts.heartbeatPeriodMillis();
    if (state.hosts.isSmallFleet()) {
      return period;
    }
    return delayMillis(period, settings.zone(), state.clock.wallMillis());
  }

  /**
   * Returns the time until the next heartbeat of a host of a zone, in milliseconds.
   *
   * <p>The hosts of a zone send at about the same time, so that receivers read many heartbeats at
   * once: waking the receiving thread costs a small machine more than a heartbeat.
   *
   * @param period the time between heartbeats in milliseconds
   * @param zone the zone of the sender, which determines the phase
   * @param wallMillis the wall clock in milliseconds
   * @return from a quarter of the period to five quarters of it
   */
  static long delayMillis(long period, String zone, long wallMillis) {
    long phase = Math.floorMod(Hashing.of(zone), period);
    long delay = period - Math.floorMod(wallMillis - phase, period);
    // A timer that fires early must not send twice.
    return delay < period / 4 ? delay + period : delay;
  }

  private void sendHeartbeat() {
    state.hosts.refreshTopology();
    sequence++;
    Set<String> near = new TreeSet<>(state.hosts.nearAddresses().values());
    List<String> far = List.copyOf(state.hosts.farAddresses().values());
    if (near.isEmpty() && far.isEmpty()) {
      for (String seed : seeds) {
        near.add(seed.substring(0, seed.lastIndexOf(':') + 1) + settings.peerPort());
      }
      near.remove(settings.internalAddress() + ":" + settings.peerPort());
    }
    byte[] heartbeat =
        PeerDatagram.newBuilder().setBeat(state.heartbeat(sequence)).build().toByteArray();
    lastHeartbeat = heartbeat;
    send(near, heartbeat);
    if (!far.isEmpty()) {
      Set<String> farTargets = new TreeSet<>();
      int maxCount = Math.min(far.size(), state.hosts.farHostsPerHeartbeat());
      for (int i = 0; i < maxCount; i++) {
        farTargets.add(far.get(Math.floorMod(nextFarIndex++, far.size())));
      }
      send(farTargets, heartbeat);
    }
    channel.flush();
  }

  private void send(Set<String> addresses, byte[] bytes) {
    for (String address : addresses) {
      InetSocketAddress receiver = PeerAddress.parse(address);
      if (receiver != null) {
        channel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), receiver));
      }
    }
  }

  @Override
  public void send(String address, PeerDatagram datagram) {
    InetSocketAddress receiver = PeerAddress.parse(address);
    if (receiver != null) {
      channel.writeAndFlush(
          new DatagramPacket(Unpooled.wrappedBuffer(datagram.toByteArray()), receiver));
    }
  }

  @Override
  public void runAfter(long millis, Runnable task) {
    group.schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void reportPeriodically() {
    try {
      state.quotas.sendReports();
    } catch (RuntimeException | Error e) {
      state.events.log(SteeringEvent.TASK_FAILED, "report", e.toString());
    }
    runAfter(Admission.reportIntervalMillis(), this::reportPeriodically);
  }

  /** Replaces the addresses that heartbeats are sent to while no other host is known. */
  void useSeeds(List<String> addresses) {
    seeds = addresses;
  }

  /** Sends a heartbeat at once, for example when this host begins to leave. */
  void sendHeartbeatNow() {
    group.execute(this::sendHeartbeat);
  }

  private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      try {
        PeerDatagram datagram = PeerDatagram.parseFrom(ByteBufUtil.getBytes(packet.content()));
        if (!datagram.hasBeat()) {
          InetSocketAddress sender = packet.sender();
          state.quotas.receive(datagram, sender.getHostString() + ":" + sender.getPort());
          return;
        }
        if (!isUsable(datagram.getBeat())) {
          state.events.log(SteeringEvent.BEAT_REFUSED, packet.sender(), "unusable fields");
          return;
        }
        byte[] ownHeartbeat = lastHeartbeat;
        if (state.hosts.receive(datagram.getBeat()) && ownHeartbeat != null) {
          // Replies at once, so that a process that has just started knows a host it may ask.
          context.writeAndFlush(
              new DatagramPacket(Unpooled.wrappedBuffer(ownHeartbeat), packet.sender()));
        }
      } catch (InvalidProtocolBufferException e) {
        state.events.log(SteeringEvent.BEAT_REFUSED, packet.sender(), e.toString());
      }
    }

    private static boolean isUsable(HostBeat heartbeat) {
      return !heartbeat.getHost().isEmpty()
          && !heartbeat.getRegion().isEmpty()
          && PeerAddress.parse(heartbeat.getPeerAddress()) != null
          && PeerAddress.parse(heartbeat.getCallersAddress()) != null;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The channel stays open, because this may only report an unreachable peer.
      state.events.log(SteeringEvent.BEAT_REFUSED, "channel", cause.toString());
    }
  }

  @Override
  public void close() {
    channel.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
