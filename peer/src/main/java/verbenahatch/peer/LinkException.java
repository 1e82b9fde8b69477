package verbenahatch.peer;

/** Signals that a peer violated the protocol of the link; the connection is then closed. */
final class LinkException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Kind of violation; its name in lower case is a label value of the metrics. */
  enum Reason {
    STRANGER,
    GARBLED,
    REPLAYED,
    OVERSIZED
  }

  private final Reason reason;

  LinkException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  Reason reason() {
    return reason;
  }
}
