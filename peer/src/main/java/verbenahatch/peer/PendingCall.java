package verbenahatch.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Result;

/** Holds one call until its answer. Confined to the event loop of its connection. */
final class PendingCall {

  private final MessageKind kind;
  private final byte[] body;
  private final Duration timeout;
  private final CompletableFuture<Result<byte[], PeerError>> answer = new CompletableFuture<>();
  private @Nullable Future<?> expiry;
  private boolean moved;
  private long correlationId;
  private long sentNanos;

  PendingCall(MessageKind kind, byte[] body, Duration timeout) {
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

  CompletableFuture<Result<byte[], PeerError>> answer() {
    return answer;
  }

  /** Allows one move to a new connection, when the old one closed before it took the call. */
  boolean mayMove() {
    boolean first = !moved;
    moved = true;
    return first;
  }

  void expireWith(Future<?> task) {
    expiry = task;
  }

  void sentAs(long id, long nanos) {
    correlationId = id;
    sentNanos = nanos;
  }

  long correlationId() {
    return correlationId;
  }

  long sentNanos() {
    return sentNanos;
  }

  /** Completes the call on a lane, so that what depends on it does not hold up the event loop. */
  void complete(Lanes lanes, Result<byte[], PeerError> result) {
    if (expiry != null) {
      expiry.cancel(false);
    }
    if (!lanes.run(kind, () -> answer.complete(result))) {
      answer.complete(result);
    }
  }
}
