package verbenahatch.release;

/**
 * The progress of a release as stored in {@code release/<service>}.
 *
 * @param generation the number of this record, which increases with each change
 * @param release the id of the release
 * @param state whether the release is running, done or rolled back
 * @param stage the stage, from 0
 * @param exposure the fraction of requests that the new version receives while the release is
 *     running, from 0 to 1
 * @param sinceMillis when this state was entered, in wall-clock milliseconds since
 *     1970-01-01T00:00:00Z
 * @param reason why the release was rolled back, otherwise empty
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
    /** Traffic is moved to the new version in stages. */
    RUNNING,
    /** The new version receives all traffic. */
    DONE,
    /** The release was rolled back: the old version receives all traffic again. */
    REVERSED
  }

  /**
   * Returns the name of the stored object that holds the record of a service.
   *
   * @param service the name of the service
   * @return the name in the store
   */
  public static String nameOf(String service) {
    return "release/" + service;
  }
}
