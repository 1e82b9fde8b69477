package verbenahatch.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import verbenahatch.kernel.Result;

/** Sends requests to other hosts and receives theirs. */
public interface PeerLink extends AutoCloseable {

  /**
   * Sends a request.
   *
   * @param to the peer port of the other host
   * @param kind the kind of the request
   * @param body the protobuf message of the kind, at most 1 MiB with its envelope
   * @param timeout the longest time to wait for the answer
   * @return completes with the body of the answer or a {@link PeerError}, never exceptionally
   */
  CompletableFuture<Result<byte[], PeerError>> call(
      PeerAddress to, MessageKind kind, byte[] body, Duration timeout);

  /**
   * Sets the handler of a kind; a second call replaces the first.
   *
   * @param kind the kind of request
   * @param handler the handler
   */
  void handle(MessageKind kind, PeerHandler handler);

  @Override
  void close();
}
