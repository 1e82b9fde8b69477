package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class BlockingClientTest {

  private static final int MAX_RESPONSE_BYTES = 64 * 1024;

  /** Covers the buffers of both sockets beside what the client reads. */
  private static final long MAX_SENT_BYTES = 16L * 1024 * 1024;

  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /**
   * A head or a trailer was kept whatever its length, so a server that sent one without end used up
   * the memory of the process before the call timed out.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 |x",
        "HTTP/1.1 200 OK\r\nX-Long: |x",
        "HTTP/1.1 200 OK\r\n|X-Field: value\r\n",
        "HTTP/1.1 200 OK\r\n\r\n|x",
        CHUNKED + "|10\r\n0123456789abcdef\r\n",
        CHUNKED + "2\r\nok\r\n0\r\n|X-Field: value\r\n"
      })
  void responseWithoutEndIsCutOff(String response) throws Exception {
    int mark = response.indexOf('|');
    byte[] beginning = response.substring(0, mark).getBytes(StandardCharsets.US_ASCII);
    byte[] repeated =
        response.substring(mark + 1).repeat(4_096).getBytes(StandardCharsets.US_ASCII);
    AtomicLong sentBytes = new AtomicLong();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        BlockingClient client = new BlockingClient("test", 1_000, 5_000, MAX_RESPONSE_BYTES)) {
      Thread thread = new Thread(() -> serve(server, beginning, repeated, sentBytes));
      thread.start();
      BlockingClient.Outcome outcome =
          client.call(client.newRequest("127.0.0.1", server.getLocalPort()).path("/x"), 1_000);
      assertInstanceOf(BlockingClient.Outcome.NoResponse.class, outcome);
      thread.join(5_000);
      assertTrue(sentBytes.get() < MAX_SENT_BYTES, "read up to " + sentBytes + " bytes");
    }
  }

  private static void serve(
      ServerSocket server, byte[] beginning, byte[] repeated, AtomicLong sentBytes) {
    try (Socket socket = server.accept()) {
      while (socket.getInputStream().read() != '\r') {
        // The rest of the request is not read.
        continue;
      }
      socket.getOutputStream().write(beginning);
      while (true) {
        socket.getOutputStream().write(repeated);
        sentBytes.addAndGet(repeated.length);
      }
    } catch (IOException e) {
      // The client closed the connection, which ends the response.
      return;
    }
  }
}
