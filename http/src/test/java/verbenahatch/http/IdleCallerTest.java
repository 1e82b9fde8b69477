package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class IdleCallerTest {

  /** A socket whose input no selector has noticed yet. */
  private final ByteArrayEndPoint socket =
      new ByteArrayEndPoint() {
        @Override
        protected void execute(Runnable task) {}
      };

  private final ReadAheadEndPoint endPoint = new ReadAheadEndPoint(socket, Runnable::run);
  private final List<String> server = new ArrayList<>();

  @BeforeEach
  void open() {
    socket.onOpen();
    endPoint.fillInterested(
        Callback.from(() -> server.add("read"), failure -> server.add("close")));
  }

  // Guards against a connection that stays open, or is closed twice, when the host stops.
  @Test
  void idleConnectionIsClosedOnce() {
    assertTrue(endPoint.closeIfIdle(() -> true));
    assertFalse(endPoint.closeIfIdle(() -> true));
    socket.getFillInterest().fillable();
    assertEquals(List.of("close"), server);
    assertFalse(endPoint.isFillInterested(), "the server can wait for input again");
  }

  // Guards against a request that is cut off because a busy process has not read it yet.
  @Test
  void inputThatHasArrivedIsGivenToTheServer() throws Exception {
    socket.addInput("GET");
    assertFalse(endPoint.closeIfIdle(() -> true));
    assertEquals(List.of("read"), server);
    ByteBuffer buffer = BufferUtil.allocate(16);
    endPoint.fill(buffer);
    assertEquals("GET", BufferUtil.toString(buffer));
  }

  // Guards against a request in progress whose watch is taken for the wait of an idle connection.
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestInProgressIsKept(boolean watched) {
    socket.getFillInterest().fillable();
    List<Throwable> disconnects = new ArrayList<>();
    if (watched) {
      CallerWatch.begin(endPoint, disconnects::add);
    }
    assertFalse(endPoint.closeIfIdle(() -> true));
    assertEquals(List.of("read"), server);
    assertEquals(List.of(), disconnects);
  }

  // Guards against a caller that is cut off while it sends a header.
  @Test
  void incompleteHeaderIsKept() {
    assertFalse(endPoint.closeIfIdle(() -> false));
    assertEquals(List.of(), server);
  }
}
