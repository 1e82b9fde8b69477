package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import verbenahatch.http.WatchedConnectionFactory;
import verbenahatch.kernel.ManualClock;

/** Guards against callers that hold a connection indefinitely with an incomplete header. */
class HeaderTimeoutTest {

  private static final long TIMEOUT_MILLIS = 3_000;

  private final ManualClock clock = new ManualClock();
  private final HeaderTimeout timeout = new HeaderTimeout(clock);
  private final Server server = new Server();
  private final ServerConnector connector =
      new ServerConnector(server, new WatchedConnectionFactory(new HttpConfiguration()));

  @BeforeEach
  void start() throws Exception {
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback) {
            EntryServer.respond(response, callback, 200, "text/plain", "ok");
            return true;
          }
        });
    server.start();
  }

  @AfterEach
  void stop() throws Exception {
    server.stop();
  }

  private int check() {
    return timeout.check(connector.getConnectedEndPoints(), TIMEOUT_MILLIS);
  }

  private Socket connect(String text) throws Exception {
    Socket socket = new Socket("127.0.0.1", connector.getLocalPort());
    socket.setSoTimeout(10_000);
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  /** Checks until the timeout of a header that the server has begun to read has passed. */
  private int checkUntilTimeout() throws InterruptedException {
    int closed = 0;
    for (int i = 0; i < 200 && closed == 0; i++) {
      closed = check();
      clock.advance(Duration.ofMillis(TIMEOUT_MILLIS / 10));
      // Lets the server read what was sent; the loop ends with the first connection closed.
      Thread.sleep(10);
    }
    return closed;
  }

  @Test
  void closesConnectionWithIncompleteHeader() throws Exception {
    try (Socket socket = connect("GET / HTTP/1.1\r\nHost: a\r\nX-Slow: ")) {
      assertEquals(1, checkUntilTimeout());
      InputStream in = socket.getInputStream();
      String response = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(response.startsWith("HTTP/1.1 408 "), response);
    }
  }

  /**
   * After a pause of the process a header whose rest had arrived in time was answered 408, and some
   * of those requests ran nevertheless (review/1).
   */
  @Test
  void servesRequestWhoseHeaderWasCompletedDuringPause() throws Exception {
    try (Socket socket = connect("GET / HTTP/1.1\r\nHost: a\r\n")) {
      for (int i = 0; i < 20; i++) {
        assertEquals(0, check());
        // Lets the server read the first part, so that its header is known to be incomplete.
        Thread.sleep(10);
      }
      clock.advance(Duration.ofMillis(TIMEOUT_MILLIS + 500));
      assertEquals(0, check());
      socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals('H', socket.getInputStream().read());
      String response =
          new String(socket.getInputStream().readNBytes(11), StandardCharsets.US_ASCII);
      assertEquals("TTP/1.1 200", response);
      clock.advance(Duration.ofMillis(TIMEOUT_MILLIS));
      assertEquals(0, check());
    }
  }

  @Test
  void keepsIdleConnectionsOpen() throws Exception {
    try (Socket socket = connect("GET / HTTP/1.1\r\nHost: a\r\n\r\n")) {
      assertEquals('H', socket.getInputStream().read());
      for (int i = 0; i < 30; i++) {
        assertEquals(0, check());
        clock.advance(Duration.ofMillis(TIMEOUT_MILLIS));
      }
    }
  }
}
