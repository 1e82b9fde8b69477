package verbenahatch.steering;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.model.WireProtocol;
import verbenahatch.steering.model.WireProtocol.TargetRequest;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/**
 * Sends a request to one target and gathers its answer.
 *
 * <p>The answer is passed on as a whole, so that one that breaks off can be repeated elsewhere or
 * reported as failed. An answer above the bound is streamed.
 */
final class TargetCall {

  /** Longest answer that is gathered; longer ones are streamed with back-pressure. */
  private static final int MAX_GATHERED_BYTES = 512 * 1024;

  /** Tells how a call ended. */
  sealed interface End {

    /**
     * The target answered completely.
     *
     * @param status the HTTP status
     * @param fields the header fields
     * @param answer what the answer says of itself
     * @param body the body, empty if it was streamed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, HttpFields fields, TargetResponse answer, byte[] body)
        implements End {}

    /**
     * No byte left this host.
     *
     * @param reason what happened
     */
    record NotSent(String reason) implements End {}

    /**
     * The request may have run.
     *
     * @param reason what happened
     * @param timedOut whether the time of the call was over
     */
    record Broken(String reason, boolean timedOut) implements End {}
  }

  /** Takes the end of a call and the parts of a long answer. */
  interface Listener {

    /** Called once, on any thread. */
    void ended(TargetCall call, End end);

    /** Begins a long answer; false if the caller is answered already. */
    boolean begin(TargetCall call, int status, HttpFields fields);

    /** Writes a part of a long answer and runs the continuation when more may come. */
    void write(TargetCall call, ByteBuffer part, Runnable more);
  }

  final Choice choice;
  final long startNanos;
  private final WireProtocol wire;
  private final String requestId;
  private final Listener listener;
  private final Request request;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final ByteArrayOutputStream gathered = new ByteArrayOutputStream();
  private volatile boolean sent;
  private volatile boolean streaming;
  private volatile boolean aborted;
  private volatile @Nullable String refusedReason;

  /** Describes what is sent. */
  @SuppressWarnings("ArrayRecordComponent")
  record Message(
      String method,
      HttpURI uri,
      HttpFields fields,
      byte @Nullable [] body,
      String requestId,
      boolean idempotent,
      TargetRequest addition,
      long timeoutMillis) {}

  TargetCall(
      TargetPool pool,
      WireProtocol wire,
      Choice choice,
      Message message,
      Listener listener,
      long nowNanos) {
    this.wire = wire;
    this.choice = choice;
    this.requestId = message.requestId;
    this.listener = listener;
    this.startNanos = nowNanos;
    request =
        pool.newRequest(choice.target().record(), message.idempotent)
            .method(message.method)
            .path(message.uri.getPathQuery())
            .timeout(message.timeoutMillis, TimeUnit.MILLISECONDS)
            .headers(
                headers -> {
                  headers.clear();
                  wire.writeRequest(message.fields, message.addition, headers);
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
        .onRequestBegin(begun -> sent = true)
        .onResponseHeaders(this::inspect)
        .onResponseContentAsync(this::content)
        .send(this::complete);
  }

  boolean isSent() {
    return sent;
  }

  /** Ends the call and closes its connection. */
  void abort(String reason) {
    aborted = true;
    request.abort(new IOException(reason));
  }

  /** Tells whether this host ended the call, so that it says nothing of the target. */
  boolean isAborted() {
    return aborted;
  }

  private void inspect(Response response) {
    TargetResponse answer = wire.readResponse(response.getHeaders());
    String answered = answer.requestId();
    if (answered != null && !answered.equals(requestId)) {
      refusedReason = "answer to request " + answered;
    } else if (answered == null && response.getStatus() < 400 && !answer.signed()) {
      refusedReason = "answer without signature";
    } else if (response.getHeaders().contains(HttpHeader.CONTENT_ENCODING)) {
      refusedReason = "answer with a content encoding";
    }
    String reason = refusedReason;
    if (reason != null) {
      response.abort(new IOException(reason));
    }
  }

  private void content(Response response, Content.Chunk chunk, Runnable demander) {
    ByteBuffer part = chunk.getByteBuffer();
    if (!streaming && gathered.size() + part.remaining() <= MAX_GATHERED_BYTES) {
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      gathered.writeBytes(bytes);
      demander.run();
      return;
    }
    if (!streaming) {
      streaming = true;
      if (!listener.begin(this, response.getStatus(), response.getHeaders())) {
        response.abort(new IOException("the caller is answered already"));
        return;
      }
      byte[] bytes = new byte[part.remaining()];
      part.get(bytes);
      gathered.writeBytes(bytes);
      listener.write(this, ByteBuffer.wrap(gathered.toByteArray()), demander);
      gathered.reset();
      return;
    }
    chunk.retain();
    listener.write(
        this,
        part,
        () -> {
          chunk.release();
          demander.run();
        });
  }

  boolean isStreaming() {
    return streaming;
  }

  private void complete(Result result) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    Throwable failure = result.getResponseFailure();
    boolean whole = failure == null && result.getResponse() != null && refusedReason == null;
    if (whole && result.getResponse().getStatus() > 0) {
      Response response = result.getResponse();
      TargetResponse answer = wire.readResponse(response.getHeaders());
      listener.ended(
          this,
          new End.Answered(
              response.getStatus(), response.getHeaders(), answer, gathered.toByteArray()));
      return;
    }
    Throwable cause = result.getFailure();
    String refused = refusedReason;
    String reason = refused != null ? refused : String.valueOf(cause);
    if (!sent) {
      listener.ended(this, new End.NotSent(reason));
    } else {
      listener.ended(this, new End.Broken(reason, cause instanceof TimeoutException));
    }
  }
}
