package verbenahatch.steering.model;

/**
 * Holds an order to move a service's traffic to a new version, with its recorded state.
 *
 * @param service the service
 * @param version the version that must receive all traffic
 * @param durationMillis the time from the order to its deadline in milliseconds
 * @param state the recorded state
 * @param revision the store-wide version of the object
 * @param created distinguishes two orders of one era for the same service and version
 */
public record ReleaseOrder(
    String service,
    String version,
    long durationMillis,
    State state,
    StoreRevision revision,
    long created) {

  /** The recorded state of a release. */
  public enum State {
    /** No host has started to carry out the order. */
    ORDERED,
    /** Traffic is moving to the new version. */
    RUNNING,
    /** The new version receives all traffic; the old targets stop. */
    COMPLETED,
    /** The new version was rolled back. */
    ROLLED_BACK
  }
}
