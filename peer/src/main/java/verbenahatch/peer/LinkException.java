package verbenahatch.peer;

/** Reports bytes from a peer that break the rules of the link; the connection is closed. */
final class LinkException extends Exception {

  private static final long serialVersionUID = 1L;

  /** Classifies the broken rule for metrics. */
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
