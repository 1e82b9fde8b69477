package verbenahatch.store;

/** Tells why a call to the platform's object API failed. */
public sealed interface StoreError {

  /**
   * No object has the name.
   *
   * @param name the name asked for
   */
  record NotFound(String name) implements StoreError {}

  /**
   * The expected version is not the current one; nothing was written.
   *
   * @param name the name of the object
   * @param currentVersion the current version, 0 if there is no object
   */
  record Conflict(String name, long currentVersion) implements StoreError {}

  /**
   * The call certainly had no effect, or a read failed.
   *
   * @param reason what happened
   */
  record Unavailable(String reason) implements StoreError {}

  /**
   * The effect of a write is not known; read back the write id.
   *
   * @param name the name of the object
   * @param writeId the id of the write
   */
  record Unsettled(String name, String writeId) implements StoreError {}

  /**
   * The platform refused the call as invalid.
   *
   * @param reason what the platform said
   */
  record Invalid(String reason) implements StoreError {}
}
