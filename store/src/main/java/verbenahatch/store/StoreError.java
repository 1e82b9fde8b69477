package verbenahatch.store;

/** Describes why a call to the platform's object API failed. */
public sealed interface StoreError {

  /**
   * There is no object with the name.
   *
   * @param name the requested name
   */
  record NotFound(String name) implements StoreError {}

  /**
   * The expected version is not the current version; nothing was written.
   *
   * @param name the name of the object
   * @param currentVersion the current version, 0 if there is no object
   */
  record Conflict(String name, long currentVersion) implements StoreError {}

  /**
   * A read failed, or a write failed and certainly had no effect.
   *
   * @param reason a description of the failure
   */
  record Unavailable(String reason) implements StoreError {}

  /**
   * It is not known whether a write took effect; read the object and compare its write id.
   *
   * @param name the name of the object
   * @param writeId the id of the write
   */
  record Unsettled(String name, String writeId) implements StoreError {}

  /**
   * The platform rejected the call as invalid.
   *
   * @param reason the reason that the platform returned
   */
  record Invalid(String reason) implements StoreError {}
}
