package verbenahatch.steering;

import java.util.concurrent.atomic.LongAdder;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/** Logs requests at a bounded rate and counts the lines that it drops. Thread-safe. */
final class RequestLog {

  /** Lines per second; a line costs about 40 microseconds of CPU time on a small machine. */
  private static final double LINES_PER_SECOND = 40;

  private static final double BURST_LINES = 120;

  private final Clock clock;
  private final Events events;
  private final TokenBucket lines;
  private final LongAdder dropped = new LongAdder();

  RequestLog(Clock clock, Events events) {
    this.clock = clock;
    this.events = events;
    this.lines = new TokenBucket(LINES_PER_SECOND, BURST_LINES, BURST_LINES, clock.nanoTime());
  }

  void log(SteeringEvent event, Object... args) {
    if (lines.tryTake(clock.nanoTime())) {
      events.log(event, args);
    } else {
      dropped.increment();
    }
  }

  /** Logs how many lines were dropped since the last call, if any. */
  void flush() {
    long count = dropped.sumThenReset();
    if (count > 0) {
      events.log(SteeringEvent.REQUESTS_NOT_LOGGED, count);
    }
  }
}
