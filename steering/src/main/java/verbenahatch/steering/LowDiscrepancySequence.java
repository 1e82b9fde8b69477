package verbenahatch.steering;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Yields numbers from 0 to 1 that are spread evenly also over few draws.
 *
 * <p>Multiples of the golden ratio leave smaller gaps than random numbers, so that shares are kept
 * over tens of requests. Thread-safe.
 */
final class LowDiscrepancySequence {

  private static final double GOLDEN_FRACTION = 0.6180339887498949;

  private final AtomicLong counter;

  LowDiscrepancySequence(long start) {
    counter = new AtomicLong(start);
  }

  /** Returns the next number, at least 0 and less than 1. */
  double next() {
    return (counter.getAndIncrement() * GOLDEN_FRACTION) % 1.0;
  }
}
