package verbenahatch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.ByteArrayEndPoint;
import org.eclipse.jetty.io.Connection;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CallerWatchTest {

  private final ByteArrayEndPoint endPoint = new ByteArrayEndPoint();
  private final PipelinedConnection connection = new PipelinedConnection(endPoint);
  private final List<Throwable> disconnects = new ArrayList<>();

  /** Records the bytes that the watch returns to the connection. */
  private static final class PipelinedConnection extends AbstractConnection
      implements Connection.UpgradeTo {
    private final List<Byte> returnedBytes = new ArrayList<>();

    PipelinedConnection(ByteArrayEndPoint endPoint) {
      super(endPoint, Runnable::run);
    }

    @Override
    public void onUpgradeTo(ByteBuffer buffer) {
      while (buffer.hasRemaining()) {
        returnedBytes.add(buffer.get());
      }
    }

    @Override
    public void onFillable() {}
  }

  @BeforeEach
  void open() {
    endPoint.onOpen();
  }

  private CallerWatch begin() {
    CallerWatch watch = CallerWatch.begin(endPoint, connection, disconnects::add);
    assertNotNull(watch);
    return watch;
  }

  // Guards against a watch that treats a late report of input, which the server has already read,
  // as a disconnect, or that misses a disconnect after such a report.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void detectsDisconnectAfterReportsWithoutInput(int reports) {
    begin();
    for (int i = 0; i < reports; i++) {
      endPoint.getFillInterest().fillable();
    }
    assertTrue(endPoint.isOpen());
    assertEquals(List.of(), disconnects);

    endPoint.addInputEOF();
    endPoint.getFillInterest().fillable();
    assertEquals(1, disconnects.size());
  }

  // Guards against a watch that still waits for input when the server reads from the connection.
  @Test
  void releasesConnectionAfterEnd() {
    CallerWatch watch = begin();
    endPoint.getFillInterest().fillable();
    watch.end();
    assertTrue(!endPoint.isFillInterested());
    endPoint.addInputEOF();
    assertEquals(List.of(), disconnects);
  }

  // Guards against losing the byte that the watch read from a pipelined request.
  @Test
  void returnsByteOfPipelinedRequest() {
    begin();
    endPoint.addInput("G");
    endPoint.getFillInterest().fillable();
    assertEquals(List.of((byte) 'G'), connection.returnedBytes);
    assertEquals(List.of(), disconnects);
  }
}
