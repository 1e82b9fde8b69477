package verbenahatch.steering.quota;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Smooths the fraction of admitting peers that are alive.
 *
 * <p>What peers admitted while this host received nothing from them is unknown here, so the
 * fraction falls at once and grows only as fast as such admissions leave the quota window. Not
 * thread-safe.
 */
final class SmoothedAliveFraction {

  private record Sample(double fraction, long atNanos) {}

  private final long windowNanos;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Creates a smoothed fraction.
   *
   * @param windowMillis the quota window in milliseconds
   * @param initial the fraction, from 0 to 1, assumed for the window that ends at {@code nowNanos}
   * @param nowNanos the monotonic time of the creation in nanoseconds
   */
  SmoothedAliveFraction(long windowMillis, double initial, long nowNanos) {
    windowNanos = Math.max(1, TimeUnit.MILLISECONDS.toNanos(windowMillis));
    samples.add(new Sample(initial, nowNanos - windowNanos));
  }

  /**
   * Records the current fraction.
   *
   * @param fraction the current fraction, from 0 to 1
   * @param nowNanos the monotonic time in nanoseconds, not before that of earlier calls
   * @return the fraction that may be used: the smaller of {@code fraction} and its mean over the
   *     window
   */
  double update(double fraction, long nowNanos) {
    long windowStart = nowNanos - windowNanos;
    double sum = 0;
    long sampleEnd = nowNanos;
    for (var newest = samples.descendingIterator(); newest.hasNext(); ) {
      Sample sample = newest.next();
      long sampleStart = Math.max(windowStart, sample.atNanos);
      if (sampleStart >= sampleEnd) {
        break;
      }
      sum += sample.fraction * (sampleEnd - sampleStart);
      sampleEnd = sampleStart;
    }
    samples.addLast(new Sample(fraction, nowNanos));
    while (samples.size() > 1 && samples.getFirst().atNanos < windowStart - windowNanos) {
      samples.removeFirst();
    }
    return Math.min(fraction, sum / windowNanos);
  }
}
