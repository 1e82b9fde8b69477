package verbenahatch.release;

/**
 * Tells operators how far a release is, as this host knows it.
 *
 * @param release the id of the release
 * @param service the service
 * @param fromVersion the old version
 * @param toVersion the new version
 * @param deadline the deadline as written in the document
 * @param state one of {@code planned}, {@code running}, {@code done} and {@code reversed}
 * @param exposure the share of requests that this host gives to the new version, from 0 to 1
 * @param stage the stage from 1, 0 before the first
 * @param reason why it was reversed, otherwise empty
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
