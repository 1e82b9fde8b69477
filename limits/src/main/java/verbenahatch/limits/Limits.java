package verbenahatch.limits;

import java.util.concurrent.CompletableFuture;

/**
 * Admits work against the limits that all hosts share. Thread-safe and free of locks when the local
 * share suffices.
 */
public interface Limits {

  /**
   * Takes one request from the rate and burst of a workspace.
   *
   * @param workspace the name of the workspace
   * @param deadlineNanos the latest reading of the monotonic clock at which the answer is of use
   * @return completes with the decision, never exceptionally; completed already when the local
   *     share suffices
   */
  CompletableFuture<Admission> admit(String workspace, long deadlineNanos);

  /**
   * Takes one slot of the capacity of a region; the caller returns it with {@link
   * #leaveRegion(String)}.
   *
   * @param region the region
   * @param deadlineNanos the latest reading of the monotonic clock at which the answer is of use
   * @return completes with the decision, never exceptionally
   */
  CompletableFuture<Admission> enterRegion(String region, long deadlineNanos);

  /**
   * Returns a slot taken with {@link #enterRegion(String, long)}.
   *
   * @param region the region
   */
  void leaveRegion(String region);

  /**
   * Takes bytes from the cap of a link between two regions.
   *
   * @param from the sending region
   * @param to the receiving region; when it equals {@code from} the bytes are not limited
   * @param bytes the number of bytes, positive
   * @param deadlineNanos the latest reading of the monotonic clock at which the answer is of use
   * @return completes with the decision, never exceptionally
   */
  CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos);

  /**
   * Estimates the part of a link's share at this host that is unused now, for the choice of region.
   *
   * @param from the sending region
   * @param to the receiving region
   * @return between 0 (none) and 1 (all), 1 when the regions are equal
   */
  double linkHeadroom(String from, String to);
}
