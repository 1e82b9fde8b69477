package verbenahatch.peer;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import verbenahatch.kernel.Result;

/** Sends requests to other hosts and handles the requests that they send. */
public interface PeerLink extends AutoCloseable {

  /**
   * Sends a request.
   *
   * @param to the peer port of the other host
   * @param kind the kind of the request
   * @param body the protobuf message of the kind, at most 1 MiB with its envelope
   * @param timeout the longest time from submitting the request until its response arrives
   * @return completes with the body of the response or a {@link PeerError}, never exceptionally
   */
  CompletableFuture<Result<byte[], PeerError>> call(
      PeerAddress to, MessageKind kind, byte[] body, Duration timeout);

  /**
   * Sets the handler of a kind of request; a later handler replaces an earlier one.
   *
   * @param kind the kind of request
   * @param handler the handler
   */
  void handle(MessageKind kind, PeerHandler handler);

  /**
   * Returns the address at which other hosts reach this link.
   *
   * @return the address with the port in use
   */
  PeerAddress localAddress();

  /**
   * Returns the incarnation id with which this link authenticates itself to its peers.
   *
   * @return the current id
   */
  String incarnation();

  /**
   * Replaces the incarnation id, as a fenced process does before it joins the fleet again. Requests
   * that are submitted afterwards carry the new id.
   *
   * @param incarnation the new id
   */
  void setIncarnation(String incarnation);

  @Override
  void close();
}
