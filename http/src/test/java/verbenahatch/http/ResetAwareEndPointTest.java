package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks which ends of a connection count as the end of its input. */
class ResetAwareEndPointTest {

  private static final long TIMEOUT_MILLIS = 10_000;

  private final Scheduler scheduler = new ScheduledExecutorScheduler();
  private Socket peer;
  private ResetAwareEndPoint endPoint;

  @BeforeEach
  void connect() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      SocketChannel channel = SocketChannel.open(server.getLocalSocketAddress());
      channel.configureBlocking(false);
      peer = server.accept();
      endPoint = new ResetAwareEndPoint(channel, null, null, scheduler);
    }
  }

  @AfterEach
  void close() throws Exception {
    endPoint.close();
    peer.close();
  }

  private void respond(String part) throws IOException {
    peer.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
    peer.getOutputStream().flush();
  }

  private void reset() throws IOException {
    peer.setSoLinger(true, 0);
    peer.close();
  }

  /** Writes until the system reports that the connection is broken. */
  private void writeUntilFailure() throws Exception {
    ByteBuffer upload = ByteBuffer.allocate(1024);
    long endNanos = System.nanoTime() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
    while (System.nanoTime() < endNanos) {
      upload.clear();
      endPoint.flush(upload);
      if (endPoint.hasFailedWrite()) {
        return;
      }
    }
    throw new AssertionError("no write failed");
  }

  /** Reads to the end of input and returns what was read. */
  private String readToEnd() throws Exception {
    StringBuilder text = new StringBuilder();
    ByteBuffer buffer = BufferUtil.allocate(1024);
    long endNanos = System.nanoTime() + Duration.ofMillis(TIMEOUT_MILLIS).toNanos();
    while (System.nanoTime() < endNanos) {
      BufferUtil.clear(buffer);
      int filled = endPoint.fill(buffer);
      if (filled < 0) {
        return text.toString();
      }
      text.append(BufferUtil.toString(buffer, StandardCharsets.ISO_8859_1));
    }
    throw new AssertionError("the input did not end");
  }

  @Test
  void orderlyCloseEndsInput() throws Exception {
    respond("whole");
    peer.close();
    assertEquals("whole", readToEnd());
    assertEquals(-1, endPoint.fill(BufferUtil.allocate(1)));
  }

  /** The system reports a reset once; a write that met it left the end of input to the reader. */
  @Test
  void resetReportedToWriteIsNoEndOfInput() throws Exception {
    respond("part");
    reset();
    writeUntilFailure();
    assertThrows(IOException.class, this::readToEnd);
    assertThrows(IOException.class, () -> endPoint.fill(BufferUtil.allocate(1)));
  }

  /** A response that arrived before a failed write was lost, as that write ended the exchange. */
  @Test
  void responseBeforeFailedWriteIsRead() throws Exception {
    ByteBuffer request = ByteBuffer.wrap(new byte[] {1});
    assertTrue(endPoint.flush(request));
    respond("response");
    // The request is not read, so the close resets the connection after the response.
    peer.close();
    writeUntilFailure();
    ByteBuffer rest = ByteBuffer.wrap(new byte[] {1});
    assertTrue(endPoint.flush(rest));
    assertEquals(0, rest.remaining());
    ByteBuffer buffer = BufferUtil.allocate(1024);
    assertEquals("response".length(), endPoint.fill(buffer));
    assertEquals("response", BufferUtil.toString(buffer, StandardCharsets.ISO_8859_1));
    assertThrows(IOException.class, this::readToEnd);
  }

  /** A write on a connection that this side has closed must fail, as nothing reads a response. */
  @Test
  void writeAfterCloseByThisSideFails() {
    endPoint.close();
    ByteBuffer request = ByteBuffer.wrap(new byte[] {1});
    assertThrows(IOException.class, () -> endPoint.flush(request));
    assertThrows(IOException.class, () -> endPoint.flush(request));
  }

  /** A connection that this side had closed read as one that the peer had ended in order. */
  @Test
  void closeByThisSideIsNoEndOfInput() throws Exception {
    respond("part");
    endPoint.close();
    assertThrows(IOException.class, this::readToEnd);
  }

  /** The close of a connection whose input had ended must not turn a whole input into a failure. */
  @Test
  void inputThatEndedStaysEndedAfterClose() throws Exception {
    respond("whole");
    peer.close();
    assertEquals("whole", readToEnd());
    endPoint.close();
    assertTrue(endPoint.fill(BufferUtil.allocate(1)) < 0);
  }
}
