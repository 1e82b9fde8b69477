package verbenahatch.steering;

import java.util.concurrent.atomic.LongAdder;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/** Writes lines about requests at a bounded rate and counts what it leaves out. Thread-safe. */
final class RequestLog {

  /** Lines per second; a line costs about 40 microseconds of a small machine's processor. */
  private static final double LINES_PER_SECOND = 40;

  private static final double BURST_LINES = 120;

  private final Clock clock;
  private final Events events;
  private final TokenBucket lines;
  private final LongAdder left = new LongAdder();

  RequestLog(Clock clock, Events events) {
    this.clock = clock;
    this.events = events;
    this.lines = new TokenBucket(LINES_PER_SECOND, BURST_LINES, BURST_LINES, clock.nanoTime());
  }

  void log(Object... args) {
    if (lines.tryTake(clock.nanoTime())) {
      events.log(SteeringEvent.REQUEST, args);
    } else {
      left.increment();
    }
  }

  /** Reports how many lines were left out since the last call. */
  void flush() {
    long count = left.sumThenReset();
    if (count > 0) {
      events.log(SteeringEvent.REQUESTS_NOT_LOGGED, count);
    }
  }
}
