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
  private final List<Throwable> gone = new ArrayList<>();

  /** Keeps what the watch gives back. */
  private static final class PipelinedConnection extends AbstractConnection
      implements Connection.UpgradeTo {
    private final List<Byte> back = new ArrayList<>();

    PipelinedConnection(ByteArrayEndPoint endPoint) {
      super(endPoint, Runnable::run);
    }

    @Override
    public void onUpgradeTo(ByteBuffer buffer) {
      while (buffer.hasRemaining()) {
        back.add(buffer.get());
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
    CallerWatch watch = CallerWatch.begin(endPoint, connection, gone::add);
    assertNotNull(watch);
    return watch;
  }

  // Guards against a watch that takes a late report of input, which the server has read already,
  // for a caller that left, or that sees nothing after it.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 3})
  void noticesDepartureAfterReportsWithoutInput(int reports) {
    begin();
    for (int i = 0; i < reports; i++) {
      endPoint.getFillInterest().fillable();
    }
    assertTrue(endPoint.isOpen());
    assertEquals(List.of(), gone);

    endPoint.addInputEOF();
    endPoint.getFillInterest().fillable();
    assertEquals(1, gone.size());
  }

  // Guards against a watch that still holds the connection when the server reads on.
  @Test
  void leavesConnectionAfterEnd() {
    CallerWatch watch = begin();
    endPoint.getFillInterest().fillable();
    watch.end();
    assertTrue(!endPoint.isFillInterested());
    endPoint.addInputEOF();
    assertEquals(List.of(), gone);
  }

  // Guards against a lost byte of a pipelined request.
  @Test
  void givesBackByteOfNextRequest() {
    begin();
    endPoint.addInput("G");
    endPoint.getFillInterest().fillable();
    assertEquals(List.of((byte) 'G'), connection.back);
    assertEquals(List.of(), gone);
  }
}
