package verbenahatch.peer;

import java.time.Duration;

/**
 * Address, secret and limits of a link.
 *
 * @param listen the address and port to listen on; port 0 selects any free port
 * @param secret the shared secret with which hosts authenticate each other
 * @param maxPendingRequests the maximum number of requests per peer without a response; further
 *     ones fail as not sent
 * @param maxWriteBufferBytes the size of the write buffer per connection, in bytes, above which
 *     outgoing requests fail as not sent and incoming requests are not read
 * @param connectTimeout the timeout for connecting, and again for authenticating
 */
public record LinkOptions(
    PeerAddress listen,
    String secret,
    int maxPendingRequests,
    int maxWriteBufferBytes,
    Duration connectTimeout) {

  private static final int DEFAULT_MAX_PENDING_REQUESTS = 1024;

  /** Holds two frames of the maximum size, so that one of them never blocks small frames. */
  private static final int DEFAULT_MAX_WRITE_BUFFER_BYTES = 2 << 20;

  /** Well above a round trip between regions (70 ms) with two retransmitted packets. */
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Returns options with the default limits.
   *
   * @param listen the address and port to listen on; port 0 selects any free port
   * @param secret the shared secret with which hosts authenticate each other
   * @return the options
   */
  public static LinkOptions of(PeerAddress listen, String secret) {
    return new LinkOptions(
        listen,
        secret,
        DEFAULT_MAX_PENDING_REQUESTS,
        DEFAULT_MAX_WRITE_BUFFER_BYTES,
        DEFAULT_CONNECT_TIMEOUT);
  }

  /** Omits the secret, which must not reach logs. */
  @Override
  public String toString() {
    return "LinkOptions[" + listen + "]";
  }
}
