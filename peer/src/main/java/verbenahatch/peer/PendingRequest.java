package verbenahatch.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Result;

/** A request that waits for its response. Confined to the event loop of its connection. */
final class PendingRequest {

  private final MessageKind kind;
  private final byte[] body;
  private final Duration timeout;
  private final CompletableFuture<Result<byte[], PeerError>> response = new CompletableFuture<>();
  private @Nullable Future<?> expiry;
  private boolean resubmitted;
  private long correlationId;
  private long sentNanos;

  PendingRequest(MessageKind kind, byte[] body, Duration timeout) {
    this.kind = kind;
    this.body = body;
    this.timeout = timeout;
  }

  MessageKind kind() {
    return kind;
  }

  byte[] body() {
    return body;
  }

  Duration timeout() {
    return timeout;
  }

  CompletableFuture<Result<byte[], PeerError>> response() {
    return response;
  }

  /**
   * Returns true for the first call only: a request may be submitted to a new connection once, if
   * the old one closed before it accepted the request.
   */
  boolean claimResubmission() {
    boolean allowed = !resubmitted;
    resubmitted = true;
    return allowed;
  }

  void setExpiry(Future<?> task) {
    expiry = task;
  }

  void markSent(long id, long nanos) {
    correlationId = id;
    sentNanos = nanos;
  }

  long correlationId() {
    return correlationId;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Completes the request on an executor, so that dependent work does not block the event loop. */
  void complete(LinkExecutors executors, Result<byte[], PeerError> result) {
    if (expiry != null) {
      expiry.cancel(false);
    }
    if (!executors.execute(kind, () -> response.complete(result))) {
      response.complete(result);
    }
  }
}
