package verbenahatch.steering;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** Parses the addresses at which other hosts receive datagrams. */
final class PeerAddress {

  private static final int MAX_PORT = 65_535;

  private PeerAddress() {}

  /**
   * Parses an IP address and port.
   *
   * <p>Names are not resolved: a look-up would block the thread that sends to all hosts.
   *
   * @param text the address, for example {@code 10.1.0.23:7460}
   * @return the address, null if the text is none
   */
  static @Nullable InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0 || !text.substring(colon + 1).matches("\\d{1,5}")) {
      return null;
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    InetAddress address = NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    return address == null || port == 0 || port > MAX_PORT
        ? null
        : new InetSocketAddress(address, port);
  }
}
