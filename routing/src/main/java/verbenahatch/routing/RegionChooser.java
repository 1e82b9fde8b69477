package verbenahatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders the regions for one request: the own region first while it has headroom, then the others
 * by delay, led by one that is drawn in proportion to free capacity.
 *
 * <p>Before the own region is full, a fraction of the requests spills over to other regions. This
 * fraction changes by at most 10% of the own capacity per second, grows above a high watermark of
 * utilization and shrinks below a low one, so that load does not oscillate. Thread-safe.
 */
public final class RegionChooser {

  /** Utilization of the own region above which the spilled fraction grows. */
  static final double HIGH_WATERMARK = 0.9;

  /** Utilization of the own region below which the spilled fraction shrinks. */
  static final double LOW_WATERMARK = 0.7;

  private static final long UPDATE_INTERVAL_NANOS = 100_000_000L;

  private double spillFraction;
  private long lastUpdateNanos;

  /**
   * Creates a chooser that at first spills no requests to other regions.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public RegionChooser(long nowNanos) {
    this.lastUpdateNanos = nowNanos;
  }

  /**
   * The current state of a region.
   *
   * @param name the region
   * @param delayMillis the one-way delay to the region, in milliseconds, negative for the own
   *     region
   * @param capacity the number of slots in the region
   * @param utilization the fraction of the slots in use in this host's view, from 0
   * @param linkHeadroom the unused fraction of the link's share, from 0 to 1
   */
  public record Candidate(
      String name, double delayMillis, int capacity, double utilization, double linkHeadroom) {

    double freeCapacity() {
      return capacity * Math.max(0, 1 - utilization) * linkHeadroom;
    }
  }

  /**
   * Orders the regions for one request.
   *
   * @param own the own region
   * @param others the other regions
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return the names of the regions with slots, best first
   */
  public List<String> order(Candidate own, List<Candidate> others, double draw, long nowNanos) {
    double fraction = own.capacity() == 0 ? 1 : updateSpillFraction(own, nowNanos);
    boolean spills = draw < fraction;
    List<Candidate> sorted = new ArrayList<>(others);
    sorted.removeIf(candidate -> candidate.capacity() == 0);
    sorted.sort(Comparator.comparingDouble(Candidate::delayMillis));
    // The same draw, rescaled to its interval, selects by free capacity, so that no second random
    // number is needed.
    double shareDraw =
        fraction > 0 && spills ? draw / fraction : (draw - fraction) / Math.max(1e-9, 1 - fraction);
    List<String> names = new ArrayList<>();
    for (Candidate candidate : moveDrawnToFront(sorted, shareDraw)) {
      names.add(candidate.name());
    }
    if (own.capacity() > 0) {
      names.add(spills ? names.size() : 0, own.name());
    }
    return names;
  }

  private static List<Candidate> moveDrawnToFront(List<Candidate> sorted, double draw) {
    double total = 0;
    for (Candidate candidate : sorted) {
      total += candidate.freeCapacity();
    }
    double remaining = draw * total;
    for (Candidate candidate : sorted) {
      remaining -= candidate.freeCapacity();
      if (remaining < 0) {
        List<Candidate> reordered = new ArrayList<>(sorted);
        reordered.remove(candidate);
        reordered.add(0, candidate);
        return reordered;
      }
    }
    return sorted;
  }

  private synchronized double updateSpillFraction(Candidate own, long nowNanos) {
    long elapsed = nowNanos - lastUpdateNanos;
    if (elapsed < UPDATE_INTERVAL_NANOS) {
      return spillFraction;
    }
    lastUpdateNanos = nowNanos;
    double maxChange = SpillPacer.MAX_CHANGE_PER_SECOND * Math.min(elapsed, 1_000_000_000L) / 1e9;
    if (own.utilization() > HIGH_WATERMARK) {
      spillFraction = Math.min(1, spillFraction + maxChange);
    } else if (own.utilization() < LOW_WATERMARK) {
      spillFraction = Math.max(0, spillFraction - maxChange);
    }
    return spillFraction;
  }

  /**
   * Returns the fraction of the requests for which another region comes first.
   *
   * @return the fraction, from 0 to 1
   */
  public synchronized double spillFraction() {
    return spillFraction;
  }
}
