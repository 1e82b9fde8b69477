package verbenahatch.steering;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.ResponseStatus;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.model.WireProtocol;
import verbenahatch.steering.model.WireProtocol.TargetRequest;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/**
 * Sends a request to one target and buffers its response.
 *
 * <p>The response is forwarded as a whole, so that an incomplete one can be retried at another
 * target or reported as failed. A response longer than the buffer is streamed.
 */
final class TargetAttempt {

  /** Longest response that is buffered; longer ones are streamed with back-pressure. */
  private static final int MAX_BUFFERED_BYTES = 512 * 1024;

  /** The id of no target; a target does not run a request that expects it. */
  private static final String NO_TARGET = "withdrawn";

  /** Describes how an attempt ended. */
  sealed interface Completion {

    /**
     * The target sent a complete response.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @param framing how the end of the response was recognised
     * @param answer the protocol fields of the response
     * @param body the body, empty if it was streamed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Responded(
        int status, HttpFields fields, ResponseFraming framing, TargetResponse answer, byte[] body)
        implements Completion {}

    /**
     * No byte of the request was sent.
     *
     * @param reason the cause of the failure
     */
    record NotSent(String reason) implements Completion {}

    /**
     * The attempt failed after the request was sent, so the request may have run.
     *
     * @param reason the cause of the failure
     * @param timedOut whether the attempt timed out
     */
    record Failed(String reason, boolean timedOut) implements Completion {}
  }

  /** Receives the completion of an attempt and the parts of a streamed response. */
  interface Listener {

    /**
     * Called before the first byte of the request is sent, which may be long after the call of
     * {@link TargetAttempt#send} if the request waits for a connection.
     *
     * @return false if the request must not be sent any more
     */
    boolean mayBegin(TargetAttempt attempt);

    /** Called when the head of a response to this request arrives, before its completion. */
    void answered(TargetAttempt attempt, int status, TargetResponse answer);

    /** Called once, on any thread. */
    void completed(TargetAttempt attempt, Completion completion);

    /** Begins a streamed response; returns false if the caller must not get this response. */
    boolean begin(TargetAttempt attempt, int status, HttpFields fields);

    /** Writes a part of a streamed response and runs the continuation when it is written. */
    void write(TargetAttempt attempt, ByteBuffer part, Runnable onWritten);
  }

  final Choice choice;
  final long startNanos;
  private final WireProtocol wire;
  final String requestId;
  private final Listener listener;
  private final HttpFields callerFields;
  private final Request request;
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.NOT_SENT);
  private final AtomicBoolean completed = new AtomicBoolean();
  private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
  private volatile boolean streaming;
  private volatile boolean uploaded;
  private volatile boolean aborted;
  private volatile boolean refusing;
  private volatile int refusalPort = -1;
  private volatile @Nullable String rejectionReason;

  /** Tells whether the request may reach the target; only NOT_SENT changes to another value. */
  private enum Progress {
    NOT_SENT,
    SENT,
    WITHDRAWN
  }

  /** Holds the request to send. */
  @SuppressWarnings("ArrayRecordComponent")
  record Message(
      String method,
      HttpURI uri,
      HttpFields fields,
      byte @Nullable [] body,
      String requestId,
      boolean idempotent,
      TargetRequest protocolFields,
      long timeoutMillis) {}

  TargetAttempt(
      TargetPool pool,
      WireProtocol wire,
      Choice choice,
      Message message,
      Listener listener,
      long nowNanos) {
    this.wire = wire;
    this.choice = choice;
    this.requestId = message.requestId;
    this.callerFields = message.fields;
    this.listener = listener;
    this.startNanos = nowNanos;
    request =
        pool.newRequest(choice.target().record(), message.idempotent, message.uri.getPathQuery())
            .method(message.method)
            .timeout(message.timeoutMillis, TimeUnit.MILLISECONDS)
            // The idle timeout of the pool is for connections between requests; the library would
            // also end a request whose target works for that long without sending bytes.
            .idleTimeout(0, TimeUnit.MILLISECONDS)
            .headers(
                headers -> {
                  headers.clear();
                  wire.writeRequest(message.fields, message.protocolFields, headers);
                  String authority = message.uri.getAuthority();
                  if (authority != null) {
                    headers.put(HttpHeader.HOST, authority);
                  }
                });
    byte[] body = message.body;
    if (body != null) {
      String type = message.fields.get(HttpHeader.CONTENT_TYPE);
      request.body(new BytesRequestContent(type == null ? "application/octet-stream" : type, body));
      if (type == null) {
        request.headers(headers -> headers.remove(HttpHeader.CONTENT_TYPE));
      }
    }
  }

  void send() {
    request
        .onRequestBegin(begun -> beginSending())
        .onResponseHeaders(this::validate)
        .onResponseContentAsync(this::onContent)
        .onRequestSuccess(sent -> uploaded = true)
        .onResponseSuccess(this::succeed)
        .send(this::complete);
  }

  /**
   * Completes the attempt at the end of the response, also if the target has not read the body, or
   * at the end of what is buffered of a refusal.
   *
   * <p>The library reports the end of a request only when its body was sent too, which a target
   * that has responded may delay until the deadline.
   */
  private void succeed(Response response) {
    if (rejectionReason != null || !completed.compareAndSet(false, true)) {
      return;
    }
    if (!uploaded && request.getBody() != null) {
      // The target has no use for the rest, and its memory is free for other bodies.
      request.abort(new IOException("the target responded before it had read the body"));
    }
    TargetResponse answer = wire.readResponse(response.getHeaders());
    int status = response.getStatus();
    HttpFields fields = response.getHeaders();
    ResponseFraming framing = ResponseFraming.of(request.getMethod(), status, fields);
    if (!ConnectionReuse.isAllowedAfter(status, answer)) {
      closeConnection();
    }
    listener.completed(
        this, new Completion.Responded(status, fields, framing, answer, buffered.toByteArray()));
  }

  /**
   * Closes the connection of the response.
   *
   * <p>The library reports a response before it returns the connection to the pool, so no other
   * request gets it, not even a retry that starts at the completion of this attempt.
   */
  private void closeConnection() {
    Connection connection = request.getConnection();
    if (connection != null) {
      connection.close();
    }
  }

  private void beginSending() {
    String reason = "withdrawn before it was sent";
    boolean allowed = false;
    try {
      allowed = listener.mayBegin(this);
    } catch (RuntimeException | Error e) {
      // The library would ignore it and send a request that still counts as not sent.
      reason += ": " + e;
    }
    if (!allowed && withdraw()) {
      aborted = true;
    }
    progress.compareAndSet(Progress.NOT_SENT, Progress.SENT);
    if (progress.get() == Progress.SENT) {
      return;
    }
    // The library sends nothing of a request that is aborted before its first byte. If another
    // thread is about to abort it, though, its first bytes may still be sent; the target then
    // refuses the request, because it expects another target.
    TargetRequest refused = new TargetRequest(1, NO_TARGET, null);
    request.headers(
        headers -> {
          headers.clear();
          wire.writeRequest(callerFields, refused, headers);
        });
    request.abort(new IOException(reason));
  }

  /**
   * Withdraws the request unless it is being sent already.
   *
   * @return true if it certainly does not run, now or later
   */
  boolean withdraw() {
    return progress.compareAndSet(Progress.NOT_SENT, Progress.WITHDRAWN)
        || progress.get() == Progress.WITHDRAWN;
  }

  /** Aborts the attempt and closes its connection. */
  void abort(String reason) {
    aborted = true;
    request.abort(new IOException(reason));
  }

  /**
   * Returns whether this host aborted the attempt, so that its failure is not due to the target.
   */
  boolean isAborted() {
    return aborted;
  }

  /** Returns whether the request may have reached the target. */
  boolean isSent() {
    return progress.get() == Progress.SENT;
  }

  /** Returns whether the target's response was not accepted. */
  boolean hasInvalidResponse() {
    return rejectionReason != null;
  }

  /** Returns the local TCP port of the connection that carried a refusal, -1 if none did. */
  int refusalPort() {
    return refusalPort;
  }

  private static int localPort(@Nullable Connection connection) {
    return connection != null
            && connection.getLocalSocketAddress() instanceof InetSocketAddress address
        ? address.getPort()
        : -1;
  }

  private void validate(Response response) {
    TargetResponse answer = wire.readResponse(response.getHeaders());
    String answeredId = answer.requestId();
    if (!ResponseStatus.isFinal(response.getStatus())) {
      // A final response may follow an interim one, but the library does not skip this one.
      rejectionReason = ResponseStatus.describeInvalid(response.getStatus());
    } else if (answeredId != null && !answeredId.equals(requestId)) {
      rejectionReason = "response to another request: " + answeredId;
    } else if (answeredId == null && response.getStatus() < 400 && !answer.signed()) {
      rejectionReason = "response without signature";
    } else if (answeredId == null && isRefusal(response, answer)) {
      // It may be a late copy of a refusal of an earlier request, while this one runs.
      rejectionReason = "refusal without the id of its request";
    } else if (response.getHeaders().contains(HttpHeader.CONTENT_ENCODING)) {
      rejectionReason = "response with a content encoding";
    }
    String reason = rejectionReason;
    if (reason != null) {
      response.abort(new IOException(reason));
      return;
    }
    if (isRefusal(response, answer)) {
      refusing = true;
      refusalPort = localPort(request.getConnection());
    }
    listener.answered(this, response.getStatus(), answer);
  }

  private static boolean isRefusal(Response response, TargetResponse answer) {
    return answer.notRun() || response.getStatus() == HttpStatus.MISDIRECTED_REQUEST_421;
  }

  private void onContent(Response response, Content.Chunk chunk, Runnable demand) {
    ByteBuffer part = chunk.getByteBuffer();
    if (!streaming && buffered.size() + part.remaining() <= MAX_BUFFERED_BYTES) {
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      buffered.writeBytes(bytes);
      demand.run();
      return;
    }
    if (!streaming && refusing) {
      // The statement is complete with the header. Its body is not passed on, and streaming it
      // would give the caller a response while the request is retried.
      succeed(response);
      return;
    }
    if (!streaming) {
      streaming = true;
      if (!listener.begin(this, response.getStatus(), response.getHeaders())) {
        response.abort(new IOException("the response may not be streamed"));
        return;
      }
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      buffered.writeBytes(bytes);
      listener.write(this, ByteBuffer.wrap(buffered.toByteArray()), demand);
      buffered.reset();
      return;
    }
    chunk.retain();
    listener.write(
        this,
        part,
        () -> {
          chunk.release();
          demand.run();
        });
  }

  boolean isStreaming() {
    return streaming;
  }

  /** Completes an attempt without a response; does nothing after {@link #succeed}. */
  private void complete(Result result) {
    if (!completed.compareAndSet(false, true)) {
      return;
    }
    Throwable cause = result.getFailure();
    String rejection = rejectionReason;
    String reason = rejection != null ? rejection : String.valueOf(cause);
    if (withdraw()) {
      listener.completed(this, new Completion.NotSent(reason));
    } else {
      listener.completed(this, new Completion.Failed(reason, cause instanceof TimeoutException));
    }
  }
}
