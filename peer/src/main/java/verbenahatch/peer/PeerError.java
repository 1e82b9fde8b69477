package verbenahatch.peer;

/** Reason why a request to a peer failed. */
public sealed interface PeerError {

  /**
   * The request did not leave this host, so the peer did not handle it.
   *
   * @param reason the cause in words
   */
  record NotSent(String reason) implements PeerError {}

  /**
   * No response arrived before the timeout or the end of the connection; the peer may have handled
   * the request.
   *
   * @param reason the cause in words
   */
  record NoResponse(String reason) implements PeerError {}

  /**
   * The peer refused the request.
   *
   * @param reason the message of the peer
   */
  record Refused(String reason) implements PeerError {}
}
