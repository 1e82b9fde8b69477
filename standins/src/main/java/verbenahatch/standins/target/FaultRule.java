package verbenahatch.standins.target;

/**
 * Makes a part of the requests go wrong.
 *
 * @param kind what goes wrong
 * @param pathPrefix the start of the paths concerned, {@code /} for all
 * @param share the part of these requests, from 0 to 1
 * @param millis the delay of {@link Kind#SLOW} and {@link Kind#LATE}, in milliseconds
 * @param afterRequests the number of requests that are spared first
 * @param aboveInFlight the fault shows only while more requests than this run
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
    /** Answers 500 after the work. */
    FAIL,
    /** Takes longer. */
    SLOW,
    /** Answers after the deadline of the request. */
    LATE,
    /** Closes the connection in the middle of the answer. */
    TRUNCATED,
    /** Answers with the id and body of an earlier request. */
    CROSSED,
    /** Sends the answer twice on the connection. */
    DUPLICATED,
    /** Never answers on this connection again; new connections work. */
    SILENT,
    /** Runs the request and closes the connection without an answer. */
    LOST
  }
}
