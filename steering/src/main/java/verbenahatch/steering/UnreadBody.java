package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;

/**
 * Discards the body of a request that was refused before its body was read.
 *
 * <p>Closing a connection with unread bytes resets it, and the caller may lose the response that
 * was sent before. Reading the rest of the body keeps the connection and the response intact. Bytes
 * and time are bounded, so that a caller cannot occupy the host with a body that has no end.
 */
final class UnreadBody {

  /** A longer body costs the host more than a new connection costs the caller. */
  private static final long MAX_BYTES = 1024 * 1024;

  /** Longest time for which a body is discarded, in ms; a planned stop waits for it. */
  private static final long MAX_MILLIS = 2_000;

  private final Request request;
  private final Callback callback;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Scheduler.Task timeout;
  private long discardedBytes;

  private UnreadBody(Request request, Scheduler timer, Callback callback) {
    this.request = request;
    this.callback = callback;
    this.timeout =
        timer.schedule(
            () -> finish("the refused body did not end in time"),
            MAX_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Discards what is left of the body of a request to which the response was already written.
   *
   * @param request the request, whose body nothing else reads
   * @param timer bounds the time
   * @param callback succeeds at the end of the body, fails if a bound is exceeded
   */
  static void discard(Request request, Scheduler timer, Callback callback) {
    new UnreadBody(request, timer, callback).read();
  }

  private void read() {
    while (!finished.get()) {
      Content.Chunk chunk = request.read();
      if (chunk == null) {
        request.demand(this::read);
        return;
      }
      if (Content.Chunk.isFailure(chunk)) {
        finish("the refused body could not be read: " + chunk.getFailure());
        return;
      }
      discardedBytes += chunk.remaining();
      boolean last = chunk.isLast();
      chunk.release();
      if (last) {
        finish(null);
        return;
      }
      if (discardedBytes > MAX_BYTES) {
        finish("the refused body is longer than " + MAX_BYTES + " bytes");
        return;
      }
    }
  }

  private void finish(@Nullable String failure) {
    if (!finished.compareAndSet(false, true)) {
      return;
    }
    timeout.cancel();
    if (failure == null) {
      callback.succeeded();
    } else {
      callback.failed(new QuietException.Exception(failure));
    }
  }
}
