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

  /**
   * Returns where other hosts reach this link.
   *
   * @return the address with the port in use
   */
  PeerAddress localAddress();

  /**
   * Returns the incarnation id that this link proves to its peers.
   *
   * @return the current id
   */
  String incarnation();

  /**
   * Replaces the incarnation id, as a fenced process does before it joins again. Requests that
   * start after the call carry the new id.
   *
   * @param incarnation the new id
   */
  void setIncarnation(String incarnation);

  @Override
  void close();
}
