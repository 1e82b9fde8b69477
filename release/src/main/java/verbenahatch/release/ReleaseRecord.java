package verbenahatch.release;

/**
 * Holds the progress of a release as kept in {@code release/<service>}.
 *
 * @param generation the number of this state; each change has a higher one
 * @param release the id of the release
 * @param state whether it runs, is done or was reversed
 * @param stage the stage, from 0
 * @param exposure the share of requests that the new version gets while it runs, from 0 to 1
 * @param sinceMillis when this state was entered, in wall-clock milliseconds
 * @param reason why it was reversed, otherwise empty
 */
public record ReleaseRecord(
    long generation,
    String release,
    State state,
    int stage,
    double exposure,
    long sinceMillis,
    String reason) {

  /** Progress of a release. */
  public enum State {
    /** Traffic moves in stages. */
    RUNNING,
    /** The new version carries all traffic. */
    DONE,
    /** The old version carries all traffic again. */
    REVERSED
  }

  /**
   * Returns the name of the object of a service.
   *
   * @param service the service
   * @return the name in the store
   */
  public static String nameOf(String service) {
    return "release/" + service;
  }
}
