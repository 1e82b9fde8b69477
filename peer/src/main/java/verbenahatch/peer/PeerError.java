package verbenahatch.peer;

/** Tells why a call to a peer failed. */
public sealed interface PeerError {

  /**
   * The request did not leave this host, so the peer did not handle it.
   *
   * @param reason what happened
   */
  record NotSent(String reason) implements PeerError {}

  /**
   * No answer came in time; the peer may have handled the request.
   *
   * @param reason what happened
   */
  record NoResponse(String reason) implements PeerError {}

  /**
   * The peer refused the request.
   *
   * @param reason what the peer said
   */
  record Refused(String reason) implements PeerError {}
}
