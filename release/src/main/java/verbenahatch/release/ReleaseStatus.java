package verbenahatch.release;

/**
 * The progress of a release in this host's view, for operators.
 *
 * @param release the id of the release
 * @param service the service
 * @param fromVersion the old version
 * @param toVersion the new version
 * @param deadline the deadline as written in the document
 * @param state one of {@code planned}, {@code running}, {@code done} and {@code reversed}
 * @param exposure the fraction of requests that this host sends to the new version, from 0 to 1
 * @param stage the number of the stage, from 1; 0 before the first
 * @param reason why the release was halted or rolled back, otherwise empty
 */
public record ReleaseStatus(
    String release,
    String service,
    String fromVersion,
    String toVersion,
    String deadline,
    String state,
    double exposure,
    int stage,
    String reason) {}
