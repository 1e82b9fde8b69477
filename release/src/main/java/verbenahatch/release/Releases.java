package verbenahatch.release;

import java.util.List;

/** Splits traffic between versions and collects evidence about them. Thread-safe. */
public interface Releases {

  /**
   * Chooses the version for one request.
   *
   * @param service the name of the service
   * @param currentVersion the version that the document names for the service
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @return the new version for the fraction of requests given by the exposure of the release,
   *     otherwise the current version
   */
  String chooseVersion(String service, String currentVersion, double draw);

  /**
   * Records the outcome of a request that reached a target.
   *
   * @param service the name of the service
   * @param route the name of the route
   * @param version the version of the target
   * @param failed whether the target failed it; requests refused by load shedding do not count as
   *     failed
   * @param latencyNanos the time to the first byte of the response, in nanoseconds
   */
  void record(String service, String route, String version, boolean failed, long latencyNanos);

  /**
   * Returns the progress of every planned release.
   *
   * @return the releases in the order of the document
   */
  default List<ReleaseStatus> status() {
    return List.of();
  }
}
