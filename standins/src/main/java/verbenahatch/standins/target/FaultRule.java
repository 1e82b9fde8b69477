package verbenahatch.standins.target;

/**
 * Defines a fault that affects a fraction of the requests.
 *
 * @param kind the kind of fault
 * @param pathPrefix the prefix of the affected paths, {@code /} for all paths
 * @param share the fraction of the matching requests that is affected, from 0 to 1
 * @param millis the delay of {@link Kind#SLOW} and {@link Kind#LATE}, in milliseconds
 * @param afterRequests the number of requests that the target runs before the fault becomes active
 * @param aboveInFlight the number of requests in flight above which the fault applies
 */
public record FaultRule(
    Kind kind,
    String pathPrefix,
    double share,
    long millis,
    long afterRequests,
    int aboveInFlight) {

  /** Kinds of faults. */
  public enum Kind {
    /** Responds with status 500 after the processing time. */
    FAIL,
    /** Takes longer to process. */
    SLOW,
    /** Responds after the deadline of the request. */
    LATE,
    /** Closes the connection in the middle of the response. */
    TRUNCATED,
    /** Responds with the request id of an earlier request. */
    CROSSED,
    /** Sends the response twice on the connection. */
    DUPLICATED,
    /** Never responds on this connection again; new connections work. */
    SILENT,
    /** Runs the request and closes the connection without a response. */
    LOST,
    /** Responds with a status that no response may have, and closes the connection. */
    INVALID_STATUS,
    /**
     * Responds before the body is read with a part of a response without a length, and resets the
     * connection.
     */
    EARLY_RESET
  }
}
