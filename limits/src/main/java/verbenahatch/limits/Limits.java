package verbenahatch.limits;

import java.util.concurrent.CompletableFuture;

/**
 * Admits work against the limits that all hosts share. Thread-safe; takes no lock when the local
 * share suffices.
 */
public interface Limits {

  /**
   * Takes one token from the request rate and burst of a workspace.
   *
   * @param workspace the name of the workspace
   * @param deadlineNanos the latest reading of the monotonic clock, in nanoseconds, at which the
   *     decision is still useful
   * @return a future that completes with the decision, never exceptionally; already completed when
   *     the local share suffices
   */
  CompletableFuture<Admission> admit(String workspace, long deadlineNanos);

  /**
   * Takes one slot of the capacity of a region. The caller must return an admitted slot with {@link
   * #leaveRegion(String)}.
   *
   * @param region the name of the region
   * @param deadlineNanos the latest reading of the monotonic clock, in nanoseconds, at which the
   *     decision is still useful
   * @return a future that completes with the decision, never exceptionally
   */
  CompletableFuture<Admission> enterRegion(String region, long deadlineNanos);

  /**
   * Returns a slot taken with {@link #enterRegion(String, long)}.
   *
   * @param region the name of the region
   */
  void leaveRegion(String region);

  /**
   * Takes bytes from the bandwidth limit of a link between two regions.
   *
   * @param from the sending region
   * @param to the receiving region; traffic inside one region, where it equals {@code from}, is not
   *     limited
   * @param bytes the number of bytes, positive
   * @param deadlineNanos the latest reading of the monotonic clock, in nanoseconds, at which the
   *     decision is still useful
   * @return a future that completes with the decision, never exceptionally
   */
  CompletableFuture<Admission> takeLinkBytes(
      String from, String to, long bytes, long deadlineNanos);

  /**
   * Estimates the unused fraction of this host's share of a link, for the choice of region.
   *
   * @param from the sending region
   * @param to the receiving region
   * @return from 0 (no headroom, or no such link) to 1 (unused), 1 when the regions are equal
   */
  double linkHeadroom(String from, String to);
}
