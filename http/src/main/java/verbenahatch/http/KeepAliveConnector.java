package verbenahatch.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Opens connections that the operating system probes while they are idle.
 *
 * <p>A connection can go silent for good without a reset while new ones work; probes end it within
 * seconds, also while a call waits on it.
 */
public final class KeepAliveConnector extends ClientConnector {

  /** Idle time before the first probe, in seconds; the shortest that the system takes. */
  private static final int IDLE_SECONDS = 1;

  /** Time between probes, in seconds. */
  private static final int INTERVAL_SECONDS = 1;

  /** Probes without an answer after which a connection ends; one may be lost on the way. */
  private static final int PROBES = 2;

  @Override
  protected void configure(SelectableChannel selectable) throws IOException {
    super.configure(selectable);
    if (selectable instanceof NetworkChannel channel) {
      channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, IDLE_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, INTERVAL_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, PROBES);
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
    return new ResettableEndPoint((SocketChannel) selectable, selector, key, this);
  }

  /**
   * Reports a reset as a failure.
   *
   * <p>The library reads a reset as the end of input, which would make an answer without a declared
   * length look complete.
   */
  private static final class ResettableEndPoint extends SocketChannelEndPoint {

    ResettableEndPoint(
        SocketChannel channel,
        ManagedSelector selector,
        SelectionKey key,
        KeepAliveConnector connector) {
      super(channel, selector, key, connector.getScheduler());
      setIdleTimeout(connector.getIdleTimeout().toMillis());
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
      if (isInputShutdown()) {
        return -1;
      }
      int position = BufferUtil.flipToFill(buffer);
      try {
        int filled = getChannel().read(buffer);
        if (filled > 0) {
          notIdle();
        } else if (filled < 0) {
          shutdownInput();
        }
        return filled;
      } finally {
        BufferUtil.flipToFlush(buffer, position);
      }
    }
  }
}
