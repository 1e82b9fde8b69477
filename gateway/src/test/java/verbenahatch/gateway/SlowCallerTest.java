package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a complete response that a slow caller loses in part. */
class SlowCallerTest {

  private static final int CHUNK_BYTES = 50_000;

  /** Receive buffer of the caller in bytes, so that most of a response waits at the gateway. */
  private static final int RECEIVE_BYTES = 4_096;

  /** Responses of one case; not each one met the fault. */
  private static final int ROUNDS = 20;

  private GatewayFixture gateway;

  @BeforeEach
  void start() throws Exception {
    gateway = new GatewayFixture();
  }

  @AfterEach
  void stop() throws Exception {
    gateway.close();
  }

  /** The connection was reset before the end of a complete response without chunks was read. */
  @ParameterizedTest
  @CsvSource({"HTTP/1.0, 40", "HTTP/1.0, 120", "HTTP/1.1, 120"})
  void slowCallerGetsWholeResponse(String version, int chunks) throws Exception {
    String chunk = Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n";
    gateway.target(
        new ScriptedTarget(
            (requestHead, socket) ->
                ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nVerbenahatch-Request-Id: "
                        + ScriptedTarget.header(requestHead, "verbenahatch-request-id")
                        + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk.repeat(chunks)
                        + "0\r\n\r\n")),
        "dakar");
    for (int i = 0; i < ROUNDS; i++) {
      assertEquals((long) chunks * CHUNK_BYTES, read(version), "round " + i);
    }
  }

  /** Returns the length of the body, negative if the connection did not end in order. */
  private long read(String version) throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BYTES);
      socket.setSoTimeout(10_000);
      socket.connect(new InetSocketAddress("127.0.0.1", gateway.server.port()));
      String request =
          "GET /proofs/1 "
              + version
              + "\r\nHost: a\r\nAuthorization: Bearer "
              + Fakes.KEY
              + "\r\nVerbenahatch-Deadline-Millis: 9000\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      byte[] buffer = new byte[16_384];
      // The caller begins to read when the buffers on the way are full.
      Thread.sleep(300);
      try {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          bytes.write(buffer, 0, n);
        }
      } catch (IOException e) {
        return -bytes.size();
      }
      return bytes.toString(StandardCharsets.ISO_8859_1).chars().filter(c -> c == 'x').count();
    }
  }
}
