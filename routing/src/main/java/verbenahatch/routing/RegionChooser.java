package verbenahatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders regions for one request: the own region while it has room, then the others by shares.
 *
 * <p>Before the own region is full, a part of the requests goes elsewhere. This part moves by at
 * most 10% of the own capacity per second, grows above a high mark of use and shrinks below a low
 * one, so that load does not swing. Thread-safe.
 */
public final class RegionChooser {

  /** Use of the own region above which more requests go elsewhere. */
  static final double HIGH_MARK = 0.9;

  /** Use of the own region below which fewer requests go elsewhere. */
  static final double LOW_MARK = 0.7;

  private static final long STEP_NANOS = 100_000_000L;

  private double spill;
  private long lastNanos;

  /**
   * Creates a chooser that keeps all requests in the own region.
   *
   * @param nowNanos the time
   */
  public RegionChooser(long nowNanos) {
    this.lastNanos = nowNanos;
  }

  /**
   * Describes a region as it is now.
   *
   * @param name the region
   * @param delayMillis the delay to it one way, in milliseconds, negative for the own region
   * @param capacity the slots there
   * @param utilization the part of the slots in use, as far as this host knows
   * @param linkHeadroom the part of the link's share that is unused, from 0 to 1
   */
  public record Candidate(
      String name, double delayMillis, int capacity, double utilization, double linkHeadroom) {

    double free() {
      return capacity * Math.max(0, 1 - utilization) * linkHeadroom;
    }
  }

  /**
   * Orders the regions for one request.
   *
   * @param own the own region
   * @param others the other regions
   * @param draw a random number from 0 (inclusive) to 1 (exclusive)
   * @param nowNanos the time
   * @return names of regions with slots, best first
   */
  public List<String> order(Candidate own, List<Candidate> others, double draw, long nowNanos) {
    double part = own.capacity() == 0 ? 1 : spillPart(own, nowNanos);
    boolean elsewhere = draw < part;
    List<Candidate> sorted = new ArrayList<>(others);
    sorted.removeIf(candidate -> candidate.capacity() == 0);
    sorted.sort(Comparator.comparingDouble(Candidate::delayMillis));
    // The same draw, scaled to its part, divides by free capacity, so nothing else is drawn.
    double second = part > 0 && elsewhere ? draw / part : (draw - part) / Math.max(1e-9, 1 - part);
    List<String> names = new ArrayList<>();
    for (Candidate candidate : rotateByShare(sorted, second)) {
      names.add(candidate.name());
    }
    if (own.capacity() > 0) {
      names.add(elsewhere ? names.size() : 0, own.name());
    }
    return names;
  }

  private static List<Candidate> rotateByShare(List<Candidate> sorted, double draw) {
    double total = 0;
    for (Candidate candidate : sorted) {
      total += candidate.free();
    }
    double mark = draw * total;
    for (Candidate candidate : sorted) {
      mark -= candidate.free();
      if (mark < 0) {
        List<Candidate> rotated = new ArrayList<>(sorted);
        rotated.remove(candidate);
        rotated.add(0, candidate);
        return rotated;
      }
    }
    return sorted;
  }

  private synchronized double spillPart(Candidate own, long nowNanos) {
    long passed = nowNanos - lastNanos;
    if (passed < STEP_NANOS) {
      return spill;
    }
    lastNanos = nowNanos;
    double step = SpillPacer.PART_PER_SECOND * Math.min(passed, 1_000_000_000L) / 1e9;
    if (own.utilization() > HIGH_MARK) {
      spill = Math.min(1, spill + step);
    } else if (own.utilization() < LOW_MARK) {
      spill = Math.max(0, spill - step);
    }
    return spill;
  }

  /**
   * Returns the part of the requests that goes elsewhere first.
   *
   * @return from 0 to 1
   */
  public synchronized double spillFraction() {
    return spill;
  }
}
