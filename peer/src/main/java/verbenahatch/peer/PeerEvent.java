package verbenahatch.peer;

import verbenahatch.kernel.EventCode;

/** Events of the link between hosts. */
public enum PeerEvent implements EventCode {
  /** The link accepts connections. */
  LISTENING(3001, Level.INFO, "peer link listens on {}"),
  /** A peer failed to prove that it knows the fleet secret. */
  UNKNOWN_PEER_REFUSED(3002, Level.WARN, "connection with {} refused: {}"),
  /** A frame was garbled, replayed or oversized, so its connection is closed. */
  FRAME_REFUSED(3003, Level.WARN, "connection with {} closed after a bad frame: {}"),
  /**
   * Nothing was received on a connection while requests timed out; the next request opens a new
   * one.
   */
  CONNECTION_SILENT(
      3004, Level.WARN, "connection to {} closed after {} timeouts without a received frame");

  private final Definition definition;

  PeerEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
