package verbenahatch.steering;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.CallerWatch;
import verbenahatch.http.ResetOnClose;
import verbenahatch.kernel.TimerDelay;

/**
 * Reads a caller's request and sends it one response.
 *
 * <p>Only the thread whose call of {@link #finish} returned true may respond. Thread-safe after the
 * body was read.
 */
final class CallerChannel {

  private final EntryContext context;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final AtomicBoolean finished = new AtomicBoolean();
  private volatile @Nullable BodyReader bodyReader;
  private volatile boolean bodyRead;
  private volatile @Nullable StreamedResponse streamed;
  private volatile @Nullable CallerWatch watch;
  private volatile Scheduler.@Nullable Task timeout;

  /** Describes a streamed response; {@code target} is the id of the target that sends it. */
  private record StreamedResponse(String target, ResponseDelimiter delimiter) {}

  CallerChannel(EntryContext context, Request request, Response response, Callback callback) {
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
   * @param maxBytes the longest body that is allowed, in bytes
   * @param onRead receives the body, null if the request has none
   * @param onRefused receives the reason if the body was not read
   */
  void readBody(
      long maxBytes,
      Consumer<byte @Nullable []> onRead,
      BiConsumer<RefusalReason, String> onRefused) {
    long declaredLength = request.getLength();
    if (declaredLength > maxBytes) {
      onRefused.accept(RefusalReason.BODY_TOO_LONG, declaredLength + " bytes");
      return;
    }
    boolean chunked = request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    if (declaredLength == 0 || (declaredLength < 0 && !chunked)) {
      bodyRead = true;
      onRead.accept(null);
      return;
    }
    BodyReader reader =
        new BodyReader(
            request,
            declaredLength,
            maxBytes,
            context.bodyMemory,
            EntryContext.MAX_BODY_MEMORY,
            new BodyReader.Listener() {
              @Override
              public void onRead(byte[] body) {
                bodyRead = true;
                onRead.accept(body);
              }

              @Override
              public void onFailure(RefusalReason reason, String detail) {
                bodyRead = reason == RefusalReason.BODY_INCOMPLETE;
                boolean cutByStop = bodyRead && context.stopPlan() != null;
                // A caller does not repeat a request whose body this host calls incomplete.
                onRefused.accept(cutByStop ? RefusalReason.STOPPING : reason, detail);
              }
            });
    bodyReader = reader;
    reader.start();
  }

  /** Returns whether the body is being read. */
  boolean isReadingBody() {
    return bodyReader != null && !bodyRead;
  }

  /** Starts to watch for a disconnect of the caller and for the deadline, in ns of the clock. */
  void watch(Consumer<Throwable> onDisconnect, Runnable onDeadline, long deadlineNanos) {
    watch = CallerWatch.begin(request, onDisconnect);
    long delayMillis = TimerDelay.millisUntil(deadlineNanos, context.state.clock.nanoTime());
    timeout = context.timer.schedule(onDeadline, delayMillis, TimeUnit.MILLISECONDS);
  }

  boolean isFinished() {
    return finished.get();
  }

  /** Claims the right to respond and frees the body memory; returns true at the first call only. */
  boolean finish() {
    if (!finished.compareAndSet(false, true)) {
      return false;
    }
    CallerWatch currentWatch = watch;
    if (currentWatch != null) {
      currentWatch.end();
    }
    Scheduler.Task timeoutTask = timeout;
    if (timeoutTask != null) {
      timeoutTask.cancel();
    }
    BodyReader reader = bodyReader;
    if (reader != null) {
      reader.release();
    }
    return true;
  }

  /** Sends a complete response of a target; must be called after {@link #finish}. */
  void deliver(int status, HttpFields fields, byte[] body) {
    begin(status, fields);
    boolean withoutBody = "HEAD".equals(request.getMethod()) || status == HttpStatus.NO_CONTENT_204;
    if (!withoutBody) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
    }
    response.write(true, withoutBody ? null : ByteBuffer.wrap(body), callback);
  }

  /**
   * Begins a streamed response; the status and header fields are sent with its first part.
   *
   * @return false if its caller could not tell an early end from a complete response, so that the
   *     request must be refused
   */
  boolean beginStream(String target, int status, HttpFields fields) {
    begin(status, fields);
    ResponseDelimiter delimiter = ResponseDelimiter.of(request, response.getHeaders());
    if (delimiter == ResponseDelimiter.CHUNKED) {
      // The library sends chunks on its own only if the connection stays open.
      response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
    } else if (delimiter == ResponseDelimiter.UNTIL_CLOSE && !resetOnClose()) {
      response.getHeaders().clear();
      return false;
    }
    streamed = new StreamedResponse(target, delimiter);
    return true;
  }

  private boolean resetOnClose() {
    try {
      ResetOnClose.enable(endPoint());
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private EndPoint endPoint() {
    return request.getConnectionMetaData().getConnection().getEndPoint();
  }

  /** Returns whether a streamed response was begun, which only its own end may complete. */
  boolean isStreaming() {
    return streamed != null;
  }

  private void begin(int status, HttpFields fields) {
    context.wire.copyResponse(fields, response.getHeaders());
    response.setStatus(status);
    addConnectionHeader();
  }

  /** Writes a part of a streamed response. */
  void write(ByteBuffer part, Runnable onWritten, Consumer<Throwable> onFailure) {
    response.write(false, part, Callback.from(onWritten, onFailure));
  }

  /** Completes a streamed response; must be called after {@link #finish}. */
  void complete() {
    StreamedResponse whole = streamed;
    if (whole != null && whole.delimiter == ResponseDelimiter.UNTIL_CLOSE) {
      try {
        // All parts were written to the socket, so an orderly close delivers them.
        ResetOnClose.disable(endPoint());
      } catch (IOException e) {
        closeAndFail(e);
        return;
      }
    }
    response.write(true, null, callback);
  }

  /** Sends a refusal instead of a response of a target; must be called after {@link #finish}. */
  void refuse(RefusalReason reason, @Nullable String retryAfterSeconds) {
    response.setStatus(reason.status());
    if (retryAfterSeconds != null) {
      response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfterSeconds);
    }
    boolean discardsBody = hasUnreadBody();
    if (discardsBody && request.getHeaders().contains(HttpHeader.EXPECT)) {
      // The caller waits for permission to send the body, which the refusal denies.
      discardsBody = false;
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
    addConnectionHeader();
    byte[] text = (reason.name() + "\n").getBytes(StandardCharsets.US_ASCII);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, text.length);
    Callback written =
        discardsBody
            ? Callback.from(
                () -> UnreadBody.discard(request, context.timer, callback), callback::failed)
            : callback;
    response.write(true, ByteBuffer.wrap(text), written);
  }

  private boolean hasUnreadBody() {
    boolean hasBody =
        request.getLength() > 0 || request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
    return hasBody && !bodyRead;
  }

  /**
   * Aborts a streamed response that is incomplete; must be called after {@link #finish}.
   *
   * @param id the id of the request, for the log
   * @param reason the reason in words, for the log
   */
  void abortResponse(String id, String reason) {
    StreamedResponse broken = streamed;
    if (broken != null) {
      context.requestLog.log(
          SteeringEvent.RESPONSE_BROKEN_OFF, id, broken.target, broken.delimiter.label(), reason);
    }
    closeAndFail(new QuietException.Exception(reason));
  }

  /**
   * Ends without a response to a disconnected caller; must be called after {@link #finish}.
   *
   * <p>Closes the connection first. Otherwise the library responds with an error and goes on with
   * the next request that the caller had sent ahead.
   */
  void endWithoutResponse() {
    closeAndFail(new QuietException.Exception("the caller disconnected"));
  }

  private void closeAndFail(Exception cause) {
    endPoint().close(cause);
    callback.failed(cause);
  }

  private void addConnectionHeader() {
    if (context.state.isLeaving()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }
}
