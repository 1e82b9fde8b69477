package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;
import verbenahatch.steering.TargetAttempt.Completion;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.model.TargetRecord;
import verbenahatch.steering.model.WireProtocol;
import verbenahatch.steering.model.WireProtocol.TargetRequest;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/** Guards against requests that are sent although they count as not sent. */
class TargetAttemptTest {

  private static final int TIMEOUT_MILLIS = 5_000;

  /** Fails at the check before the first byte. */
  private static final class FailingListener implements TargetAttempt.Listener {

    final CompletableFuture<Completion> completion = new CompletableFuture<>();

    @Override
    public boolean mayBegin(TargetAttempt attempt) {
      throw new IllegalStateException("the check failed");
    }

    @Override
    public void answered(TargetAttempt attempt, int status, TargetResponse answer) {}

    @Override
    public void completed(TargetAttempt attempt, Completion result) {
      completion.complete(result);
    }

    @Override
    public boolean begin(TargetAttempt attempt, int status, HttpFields fields) {
      return false;
    }

    @Override
    public void write(TargetAttempt attempt, ByteBuffer part, Runnable onWritten) {}
  }

  /** A check that threw was ignored: the request was sent, and then withdrawn as not sent. */
  @Test
  void requestWhoseCheckFailsIsNotSent() throws Exception {
    QueuedThreadPool threads = new QueuedThreadPool();
    ScheduledExecutorScheduler timer = new ScheduledExecutorScheduler();
    threads.start();
    timer.start();
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
        TargetPool pool = new TargetPool(threads, timer, new ArrayByteBufferPool())) {
      FailingListener listener = new FailingListener();
      newAttempt(pool, server.getLocalPort(), listener).send();
      server.setSoTimeout(TIMEOUT_MILLIS);
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        assertEquals(-1, socket.getInputStream().read(), "a byte of the request was sent");
      }
      Completion result = listener.completion.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      String reason = assertInstanceOf(Completion.NotSent.class, result).reason();
      assertTrue(reason.contains("the check failed"), reason);
    } finally {
      timer.stop();
      threads.stop();
    }
  }

  private static TargetAttempt newAttempt(
      TargetPool pool, int port, TargetAttempt.Listener listener) {
    WireProtocol wire =
        (WireProtocol)
            Proxy.newProxyInstance(
                WireProtocol.class.getClassLoader(),
                new Class<?>[] {WireProtocol.class},
                (proxy, method, args) -> null);
    TargetRecord record =
        new TargetRecord("t", "catalogue", "127.0.0.1", port, "a1", "v1", 3, false, 0, 1);
    Choice choice = new Choice(new Target(record, "a", 0), CacheState.COLD, 0, 0, 0);
    TargetAttempt.Message message =
        new TargetAttempt.Message(
            "GET",
            HttpURI.from("http://127.0.0.1/x"),
            HttpFields.EMPTY,
            null,
            "r",
            true,
            new TargetRequest(TIMEOUT_MILLIS, "t", null),
            TIMEOUT_MILLIS);
    return new TargetAttempt(pool, wire, choice, message, listener, 0);
  }
}
