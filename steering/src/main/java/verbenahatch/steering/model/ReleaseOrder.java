package verbenahatch.steering.model;

/**
 * Holds an order to move a service's traffic to a new version, with its recorded state.
 *
 * @param service the service
 * @param version the version that must carry the traffic
 * @param durationMillis the time from the order to its deadline
 * @param state the recorded state
 * @param revision the store-wide version of the object
 * @param created tells two orders for the same service and version apart
 */
public record ReleaseOrder(
    String service, String version, long durationMillis, State state, long revision, long created) {

  /** The recorded state of a release. */
  public enum State {
    /** No host has taken up the order yet. */
    ORDERED,
    /** Traffic moves. */
    RUNNING,
    /** The new version carries the traffic; the old targets stop. */
    COMPLETED,
    /** The new version was taken back. */
    ROLLED_BACK
  }
}
