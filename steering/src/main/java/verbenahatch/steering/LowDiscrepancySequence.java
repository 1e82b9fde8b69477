package verbenahatch.steering;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates a low-discrepancy sequence of numbers from 0 (inclusive) to 1 (exclusive).
 *
 * <p>Multiples of the golden ratio leave smaller gaps than random numbers, so that a traffic split
 * is met closely within tens of requests. Thread-safe.
 */
final class LowDiscrepancySequence {

  private static final double GOLDEN_FRACTION = 0.6180339887498949;

  private final AtomicLong counter;

  LowDiscrepancySequence(long start) {
    counter = new AtomicLong(start);
  }

  /** Returns the next number, at least 0 and less than 1. */
  double next() {
    return at(counter.getAndIncrement());
  }

  /** Returns what {@link #next} would return, and draws nothing. */
  double peek() {
    return at(counter.get());
  }

  private static double at(long position) {
    return (position * GOLDEN_FRACTION) % 1.0;
  }
}
