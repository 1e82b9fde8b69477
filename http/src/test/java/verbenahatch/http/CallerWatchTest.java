package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerWatchTest {

  private final ByteArrayEndPoint socket = new ByteArrayEndPoint();
  private final ReadAheadEndPoint endPoint = new ReadAheadEndPoint(socket, Runnable::run);
  private final List<Throwable> disconnects = new ArrayList<>();

  @BeforeEach
  void open() {
    socket.onOpen();
  }

  private CallerWatch begin() {
    return CallerWatch.begin(endPoint, disconnects::add);
  }

  private void receive(String input) {
    socket.addInput(input);
    socket.getFillInterest().fillable();
  }

  /** Reads as the server does, which may use a small buffer that is partly filled. */
  private String readAsServer(int capacity) throws IOException {
    StringBuilder text = new StringBuilder();
    while (true) {
      ByteBuffer buffer = BufferUtil.allocate(capacity);
      BufferUtil.append(buffer, (byte) '-');
      if (endPoint.fill(buffer) <= 0) {
        return text.toString();
      }
      text.append(BufferUtil.toString(buffer).substring(1));
    }
  }

  // Guards against a watch that treats a late report of input, which the server has already read,
  // as a disconnect, or that misses a disconnect after such a report.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void detectsDisconnectAfterReportsWithoutInput(int reports) {
    begin();
    for (int i = 0; i < reports; i++) {
      socket.getFillInterest().fillable();
    }
    assertTrue(endPoint.isOpen());
    assertEquals(List.of(), disconnects);

    socket.addInputEOF();
    socket.getFillInterest().fillable();
    assertEquals(1, disconnects.size());
  }

  // Guards against sending a request on although its caller closed before the host read it
  // (GONE in casa-abierta scale-2, seed 856722611293).
  @ParameterizedTest
  @ValueSource(strings = {"", "G", "GET /2 HTTP/1.1\r\n\r\n"})
  void detectsEarlierDisconnectBeforeBeginReturns(String ahead) {
    if (!ahead.isEmpty()) {
      socket.addInput(ahead);
    }
    socket.addInputEOF();
    begin();
    assertEquals(1, disconnects.size());
  }

  // Guards against a watch that still waits for input when the server reads from the connection.
  @Test
  void releasesConnectionAfterEnd() {
    CallerWatch watch = begin();
    socket.getFillInterest().fillable();
    watch.end();
    assertTrue(!endPoint.isFillInterested());
    socket.addInputEOF();
    assertEquals(List.of(), disconnects);
  }

  // Guards against losing or reordering requests that were sent ahead, also if the buffer of the
  // server has less room than they need.
  @ParameterizedTest
  @ValueSource(ints = {2, 7, 8192})
  void keepsRequestsSentAheadForTheServer(int capacity) throws IOException {
    CallerWatch watch = begin();
    List.of("G", "ET / HTTP/1.1\r\n\r\n", "GET /2 HTTP/1.1\r\n\r\n").forEach(this::receive);
    watch.end();
    socket.addInput("GET /3");
    assertEquals("GET / HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3", readAsServer(capacity));
    assertEquals(List.of(), disconnects);
  }

  // Guards against a watch that stops at the first byte of a request that was sent ahead.
  @ParameterizedTest
  @ValueSource(strings = {"G", "GET /2 HTTP/1.1\r\n\r\n"})
  void detectsDisconnectBehindRequestsSentAhead(String ahead) {
    begin();
    receive(ahead);
    assertEquals(List.of(), disconnects);
    socket.addInputEOF();
    socket.getFillInterest().fillable();
    assertEquals(1, disconnects.size());
  }

  // Guards against a caller that fills the memory of the host by sending without reading.
  @Test
  void stopsReadingAtTheBound() throws IOException {
    begin();
    String input = "x".repeat(4 * ReadAheadEndPoint.MAX_AHEAD_BYTES);
    receive(input);
    assertTrue(!socket.isFillInterested());
    assertEquals(input, readAsServer(8192));
  }

  // Guards against a server that waits for input which the watch has read already.
  @Test
  void reportsStoredBytesToTheServerAtOnce() {
    CallerWatch watch = begin();
    receive("GET");
    watch.end();
    AtomicInteger reports = new AtomicInteger();
    endPoint.fillInterested(Callback.from(reports::incrementAndGet));
    assertEquals(1, reports.get());
  }
}
