package verbenahatch.peer;

import java.time.Duration;

/**
 * Holds the address, the secret and the bounds of a link.
 *
 * @param listen where to listen; port 0 takes any free port
 * @param secret the secret that hosts prove to each other
 * @param maxPendingCalls the largest number of unanswered calls per peer
 * @param maxWriteBufferBytes the size of the write buffer per connection above which nothing more
 *     is written
 * @param connectTimeout the longest time to connect, and again to authenticate
 */
public record LinkOptions(
    PeerAddress listen,
    String secret,
    int maxPendingCalls,
    int maxWriteBufferBytes,
    Duration connectTimeout) {

  private static final int DEFAULT_PENDING_CALLS = 1024;

  /** Holds two of the largest frames, so that one of them never blocks the small ones. */
  private static final int DEFAULT_WRITE_BUFFER_BYTES = 2 << 20;

  /** Well above a round trip between regions (70 ms) with two retransmitted packets. */
  private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofSeconds(1);

  /**
   * Returns options with the default bounds.
   *
   * @param listen where to listen
   * @param secret the secret that hosts prove to each other
   * @return the options
   */
  public static LinkOptions of(PeerAddress listen, String secret) {
    return new LinkOptions(
        listen, secret, DEFAULT_PENDING_CALLS, DEFAULT_WRITE_BUFFER_BYTES, DEFAULT_CONNECT_TIMEOUT);
  }

  /** Omits the secret, which must not reach logs. */
  @Override
  public String toString() {
    return "LinkOptions[" + listen + "]";
  }
}
