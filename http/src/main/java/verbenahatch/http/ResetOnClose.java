package verbenahatch.http;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.NetworkChannel;
import org.eclipse.jetty.io.EndPoint;

/**
 * Makes any close of a connection a reset while a response without length or chunks is sent.
 *
 * <p>An orderly close would tell the peer that the response is complete. The kernel also resets the
 * connection if the process ends, whatever ends it.
 */
public final class ResetOnClose {

  /** Linger time in seconds with which a close discards what was not sent and resets. */
  private static final int RESET = 0;

  /** Value of the linger time with which a close is orderly and does not block. */
  private static final int ORDERLY = -1;

  private ResetOnClose() {}

  /**
   * Makes every later close of a connection a reset.
   *
   * @param endPoint the endpoint of the connection, not null
   * @throws IOException if the connection is closed or is not a socket
   */
  public static void enable(EndPoint endPoint) throws IOException {
    setLinger(endPoint, RESET);
  }

  /**
   * Makes later closes of a connection orderly again.
   *
   * @param endPoint the endpoint of the connection, not null
   * @throws IOException if the connection is closed or is not a socket
   */
  public static void disable(EndPoint endPoint) throws IOException {
    setLinger(endPoint, ORDERLY);
  }

  private static void setLinger(EndPoint endPoint, int seconds) throws IOException {
    if (!(endPoint.getTransport() instanceof NetworkChannel channel)) {
      throw new IOException("the connection is not a socket: " + endPoint.getTransport());
    }
    try {
      channel.setOption(StandardSocketOptions.SO_LINGER, seconds);
    } catch (UnsupportedOperationException e) {
      throw new IOException("the socket has no linger option", e);
    }
  }
}
