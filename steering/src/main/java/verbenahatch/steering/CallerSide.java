package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.CallerWatch;

/**
 * Reads a caller's request and gives it one answer.
 *
 * <p>Only the first call of {@link #finish} may answer. Thread-safe after the body was read.
 */
final class CallerSide {

  /** Memory that is set aside for a body without a declared length, in bytes. */
  private static final long UNDECLARED_BODY_BYTES = 256 * 1024;

  private final EntryContext context;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final AtomicBoolean finished = new AtomicBoolean();
  private long bodyReserved;
  private volatile @Nullable CallerWatch watch;
  private volatile Scheduler.@Nullable Task timeout;

  CallerSide(EntryContext context, Request request, Response response, Callback callback) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  Request request() {
    return request;
  }

  /**
   * Reads the body into memory.
   *
   * @param most the longest body that is allowed, in bytes
   * @param onRead takes the body, null if the request has none
   * @param onRefused takes why it was not read
   */
  void readBody(
      long most, Consumer<byte @Nullable []> onRead, BiConsumer<RefusalReason, String> onRefused) {
    long declared = request.getLength();
    if (declared > most) {
      onRefused.accept(RefusalReason.BODY_TOO_LONG, declared + " bytes");
      return;
    }
    boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (declared == 0 || (declared < 0 && !chunked)) {
      onRead.accept(null);
      return;
    }
    bodyReserved = declared > 0 ? declared : UNDECLARED_BODY_BYTES;
    if (context.bodyMemory.addAndGet(bodyReserved) > EntryContext.MAX_BODY_MEMORY) {
      onRefused.accept(RefusalReason.NO_MEMORY, "bodies in memory");
      return;
    }
    int limit = (int) Math.min(most, EntryContext.MAX_BODY_MEMORY);
    Content.Source.asByteArrayAsync(request, limit)
        .whenComplete(
            (bytes, failure) -> {
              if (failure instanceof IllegalStateException) {
                onRefused.accept(RefusalReason.BODY_TOO_LONG, String.valueOf(failure.getMessage()));
              } else if (failure != null) {
                onRefused.accept(RefusalReason.BODY_INCOMPLETE, failure.toString());
              } else {
                reserve(bytes.length);
                onRead.accept(bytes);
              }
            });
  }

  private void reserve(long length) {
    long more = length - bodyReserved;
    if (more > 0) {
      bodyReserved = length;
      context.bodyMemory.addAndGet(more);
    }
  }

  /** Begins to notice that the caller leaves or that its time is over. */
  void watch(Consumer<Throwable> onGone, Runnable onTimeout, long millis) {
    watch = CallerWatch.begin(request, onGone);
    timeout = context.timer.schedule(onTimeout, Math.max(1, millis), TimeUnit.MILLISECONDS);
  }

  boolean isFinished() {
    return finished.get();
  }

  /** Takes the right to answer; only the first call gets it. */
  boolean finish() {
    if (!finished.compareAndSet(false, true)) {
      return false;
    }
    CallerWatch watching = watch;
    if (watching != null) {
      watching.end();
    }
    Scheduler.Task task = timeout;
    if (task != null) {
      task.cancel();
    }
    context.bodyMemory.addAndGet(-bodyReserved);
    return true;
  }

  /** Passes a target's whole answer on; to be called after {@link #finish}. */
  void deliver(int status, HttpFields fields, byte[] body) {
    begin(status, fields);
    boolean bodyless = "HEAD".equals(request.getMethod()) || status == HttpStatus.NO_CONTENT_204;
    if (!bodyless) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    }
    response.write(true, bodyless ? null : ByteBuffer.wrap(body), callback);
  }

  /** Begins to pass a long answer on. */
  void begin(int status, HttpFields fields) {
    context.wire.copyResponse(fields, response.getHeaders());
    response.setStatus(status);
    addConnectionHeader();
  }

  /** Passes a part of a long answer on. */
  void write(ByteBuffer part, Runnable more, Consumer<Throwable> onFailure) {
    response.write(false, part, Callback.from(more, onFailure));
  }

  /** Ends a long answer; to be called after {@link #finish}. */
  void complete() {
    response.write(true, null, callback);
  }

  /** Answers in place of a target; to be called after {@link #finish}. */
  void refuse(RefusalReason reason, @Nullable String retryAfterSeconds) {
    response.setStatus(reason.status());
    if (retryAfterSeconds != null) {
      response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfterSeconds);
    }
    addConnectionHeader();
    byte[] text = (reason.name() + "\n").getBytes(StandardCharsets.US_ASCII);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, text.length);
    response.write(true, ByteBuffer.wrap(text), callback);
  }

  /** Ends the caller's answer as broken; to be called after {@link #finish}. */
  void breakOff(String reason) {
    callback.failed(new QuietException.Exception(reason));
  }

  /** Ends without an answer, since the caller left; to be called after {@link #finish}. */
  void abandon() {
    callback.failed(new QuietException.Exception("the caller left"));
  }

  private void addConnectionHeader() {
    if (context.state.isLeaving()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
