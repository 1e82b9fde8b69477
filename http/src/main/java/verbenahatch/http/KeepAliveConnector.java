package verbenahatch.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;

/**
 * Opens connections with TCP keep-alive probes.
 *
 * <p>A connection can permanently stop delivering data without a reset while new connections work.
 * The probes close such a connection within seconds, also while a call waits on it.
 */
public final class KeepAliveConnector extends ClientConnector {

  /** Idle time before the first probe, the minimum that the operating system accepts. */
  private static final int KEEP_IDLE_SECONDS = 1;

  private static final int PROBE_INTERVAL_SECONDS = 1;

  /** Unanswered probes after which a connection is closed; two, because one may be lost. */
  private static final int MAX_UNANSWERED_PROBES = 2;

  @Override
  protected void configure(SelectableChannel selectable) throws IOException {
    super.configure(selectable);
    if (selectable instanceof NetworkChannel channel) {
      channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_IDLE_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, PROBE_INTERVAL_SECONDS);
      channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, MAX_UNANSWERED_PROBES);
    }
  }

  @Override
  protected EndPoint newEndPoint(
      SelectableChannel selectable, ManagedSelector selector, SelectionKey key) {
    ResetAwareEndPoint endPoint =
        new ResetAwareEndPoint((SocketChannel) selectable, selector, key, getScheduler());
    endPoint.setIdleTimeout(getIdleTimeout().toMillis());
    return endPoint;
  }
}
