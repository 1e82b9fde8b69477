package verbenahatch.peer;

/** Kinds of requests between hosts; the number is the one on the wire and is never reused. */
public enum MessageKind {
  /** Asks for contact, facts and generations. */
  PULSE(1),
  /** Asks for an object of a generation. */
  FETCH_OBJECT(2),
  /** Hands over new facts and asks for their acknowledgement. */
  PUSH_FACTS(3),
  /** Exchanges shares with the home of a group. */
  EXCHANGE_SHARES(4),
  /** Closes an epoch of a group of limits. */
  CLOSE_SHARES(5),
  /** Asks a holder to exchange at once. */
  RECALL_HINT(6),
  /** Asks the issuer of a ticket for the right to run it. */
  CLAIM_TICKET(7),
  /** Reports the result of a claimed ticket. */
  SETTLE_TICKET(8),
  /** Reports evidence about a release. */
  RELEASE_EVIDENCE(9);

  private final int number;

  MessageKind(int number) {
    this.number = number;
  }

  /**
   * Returns the number on the wire.
   *
   * @return a positive number
   */
  public int number() {
    return number;
  }
}
