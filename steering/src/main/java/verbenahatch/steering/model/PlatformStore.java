package verbenahatch.steering.model;

import verbenahatch.kernel.Result;

/**
 * Gives access to what the platform keeps for steering.
 *
 * <p>Thread-safe. Writes block for a bounded time and report whether the store confirmed them.
 */
public interface PlatformStore {

  /** Tells why a write was not confirmed. */
  sealed interface WriteError {

    /** Another writer changed the object first; nothing was written. */
    record Conflict() implements WriteError {}

    /**
     * The store gave no confirmation; the write may have taken effect.
     *
     * @param reason what happened
     */
    record Unconfirmed(String reason) implements WriteError {}
  }

  /**
   * Returns the versions of the operator's document.
   *
   * @return a feed that holds one object at most
   */
  Feed<SteeringDocument> documents();

  /**
   * Returns the entries of targets.
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
   * Returns the zones to which nothing may be sent.
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
   * Writes the record of a host, whatever was there before.
   *
   * @param host the record
   * @return true if the store confirmed it
   */
  Result<Boolean, WriteError> putHost(HostRecord host);

  /**
   * Removes the record of a host.
   *
   * @param name the name of the host
   * @return true if the record is gone
   */
  Result<Boolean, WriteError> removeHost(String name);

  /**
   * Records the state of a release if the order is still the one given.
   *
   * @param order the order as it was read
   * @param state the new state
   * @return true if the store confirmed it
   */
  Result<Boolean, WriteError> putReleaseState(ReleaseOrder order, ReleaseOrder.State state);
}
