package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResetOnCloseTest {

  /** An endpoint of a socket, with the wrapper that connections of callers have. */
  private static ReadAheadEndPoint endPoint(SocketChannel channel) {
    ByteArrayEndPoint socket =
        new ByteArrayEndPoint() {
          @Override
          public Object getTransport() {
            return channel;
          }
        };
    return new ReadAheadEndPoint(socket, Runnable::run);
  }

  // Guards against an early end that looks complete, and a complete response that is destroyed.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void closeResetsWhileEnabled(boolean enabled) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        SocketChannel channel =
            SocketChannel.open(new InetSocketAddress("127.0.0.1", server.getLocalPort()));
        Socket caller = server.accept()) {
      ResetOnClose.enable(endPoint(channel));
      channel.write(ByteBuffer.wrap(new byte[] {1}));
      if (!enabled) {
        ResetOnClose.disable(endPoint(channel));
      }
      assertEquals(1, caller.getInputStream().read());
      channel.close();
      if (enabled) {
        assertThrows(SocketException.class, caller.getInputStream()::read);
      } else {
        assertEquals(-1, caller.getInputStream().read());
      }
    }
  }

  // Guards against a response that is sent although its early end would look complete.
  @Test
  void failsIfTheConnectionIsNotAnOpenSocket() throws Exception {
    SocketChannel closed = SocketChannel.open();
    closed.close();
    assertThrows(IOException.class, () -> ResetOnClose.enable(endPoint(closed)));
    assertThrows(IOException.class, () -> ResetOnClose.enable(new ByteArrayEndPoint()));
  }
}
