package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.client.BytesRequestContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.http.BlockingClient.Outcome;

/** Checks calls whose server closes the connection before it has read the body. */
class KeepAliveTransportTest {

  private static final int BODY_BYTES = 8_000_000;
  private static final long CALL_TIMEOUT_MILLIS = 5_000;
  private static final int CALLS = 10;

  /** A call was sent on the connection of a response whose request could not be written whole. */
  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 413 X\r\nContent-Length: 2\r\n\r\nno", ""})
  void connectionIsNotReusedAfterFailedWrite(String response) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BlockingClient client = new BlockingClient("test", 1_000, 5_000, 1_000)) {
      Thread thread = new Thread(() -> serve(server, response));
      thread.start();
      for (int i = 0; i < CALLS; i++) {
        long startNanos = System.nanoTime();
        Outcome outcome =
            client.call(
                client
                    .newRequest("127.0.0.1", server.getLocalPort())
                    .method("PUT")
                    .body(new BytesRequestContent(new byte[BODY_BYTES])),
                CALL_TIMEOUT_MILLIS);
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(millis < CALL_TIMEOUT_MILLIS, millis + " ms");
        if (response.isEmpty()) {
          assertInstanceOf(Outcome.NoResponse.class, outcome);
        } else {
          assertEquals(413, assertInstanceOf(Outcome.Received.class, outcome).status());
        }
      }
    }
  }

  private static void serve(ServerSocket server, String response) {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        StringBuilder head = new StringBuilder();
        InputStream in = socket.getInputStream();
        while (!head.toString().endsWith("\r\n\r\n")) {
          head.append((char) in.read());
        }
        socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      } catch (IOException e) {
        continue;
      }
    }
  }
}
