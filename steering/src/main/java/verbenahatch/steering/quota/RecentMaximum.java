package verbenahatch.steering.quota;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** Determines the maximum of a value within a recent time. Not thread-safe. */
final class RecentMaximum {

  private record Sample(double value, long atNanos) {}

  private final long recentNanos;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /**
   * Creates a maximum without samples.
   *
   * @param recentMillis the time in milliseconds for which a sample counts
   */
  RecentMaximum(long recentMillis) {
    recentNanos = TimeUnit.MILLISECONDS.toNanos(recentMillis);
  }

  /**
   * Records a value.
   *
   * @param value the current value
   * @param nowNanos the monotonic time in nanoseconds, not before that of earlier calls
   * @return the maximum of the recent values, this one included
   */
  double update(double value, long nowNanos) {
    while (!samples.isEmpty() && nowNanos - samples.getFirst().atNanos > recentNanos) {
      samples.removeFirst();
    }
    while (!samples.isEmpty() && samples.getLast().value <= value) {
      samples.removeLast();
    }
    samples.addLast(new Sample(value, nowNanos));
    return samples.getFirst().value;
  }
}
