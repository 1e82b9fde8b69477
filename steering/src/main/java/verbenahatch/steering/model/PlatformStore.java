package verbenahatch.steering.model;

import verbenahatch.kernel.Result;

/**
 * Provides access to the objects that the platform stores for steering.
 *
 * <p>Thread-safe. Writes block for a bounded time and report whether the store confirmed them.
 */
public interface PlatformStore {

  /** The reason why a write was not confirmed. */
  sealed interface WriteError {

    /** Another writer changed the object first; nothing was written. */
    record Conflict() implements WriteError {}

    /**
     * The store did not confirm the write, which may have taken effect.
     *
     * @param reason a description of the failure
     */
    record Unconfirmed(String reason) implements WriteError {}
  }

  /**
   * Sets the observer of the era that the store states in each of its responses.
   *
   * @param observer called on the thread of each call; set before the first call
   */
  void observeEras(EraObserver observer);

  /**
   * Returns the operator's document and its changes.
   *
   * @return a feed of at most one object
   */
  Feed<SteeringDocument> documents();

  /**
   * Returns the registry entries of targets.
   *
   * @return a feed by target id
   */
  Feed<TargetRecord> targets();

  /**
   * Returns the orders for releases.
   *
   * @return a feed by service
   */
  Feed<ReleaseOrder> releases();

  /**
   * Returns the evacuated zones, to which no requests may be sent.
   *
   * @return a feed whose names and objects are zones
   */
  Feed<String> evacuations();

  /**
   * Returns the records of hosts.
   *
   * @return a feed by host name
   */
  Feed<HostRecord> hosts();

  /**
   * Writes the record of a host and replaces an earlier one.
   *
   * @param host the record
   * @return true if the store confirmed the write, or why it did not
   */
  Result<Boolean, WriteError> putHost(HostRecord host);

  /**
   * Removes the record of a host.
   *
   * @param name the name of the host
   * @return true if the store confirmed that the record no longer exists, or why it did not
   */
  Result<Boolean, WriteError> removeHost(String name);

  /**
   * Records the state of a release if its order has not changed since it was read.
   *
   * @param order the order as it was read
   * @param state the new state
   * @return true if the store confirmed the write, or why it did not
   */
  Result<Boolean, WriteError> putReleaseState(ReleaseOrder order, ReleaseOrder.State state);
}
