package verbenahatch.peer;

/** Kinds of requests between hosts; the number is the one on the wire and must not be reused. */
public enum MessageKind {
  /**
   * Heartbeat poll: establishes contact and requests contact ages, facts and object generations.
   */
  PULSE(1),
  /** Requests an object whose generation is above a given one. */
  FETCH_OBJECT(2),
  /** Sends new facts, which the peer acknowledges. */
  PUSH_FACTS(3),
  /** Exchanges shares with the coordinator of a limit group. */
  EXCHANGE_SHARES(4),
  /** Closes an epoch of a limit group. */
  CLOSE_SHARES(5),
  /** Asks a holder of shares to exchange them with the coordinator at once. */
  RECALL_HINT(6),
  /** Requests the right to run a submission from the issuer of its ticket. */
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
