package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/** Runs the steps of a graceful stop and logs the time that each one takes. */
final class StopSteps {

  /** A step of a stop. */
  interface Step {

    /** Runs the step. */
    void run() throws Exception;
  }

  private final Clock clock;
  private final Events events;
  private final long signalNanos;

  /**
   * Creates the steps of one stop.
   *
   * @param clock the clock of the process
   * @param events the log of the process
   * @param signalNanos when the stop was requested, in ns of the clock
   */
  StopSteps(Clock clock, Events events, long signalNanos) {
    this.clock = clock;
    this.events = events;
    this.signalNanos = signalNanos;
  }

  /**
   * Runs a step and logs when it ended.
   *
   * @param name the name of the step in the log
   * @param step the step
   * @throws Exception if the step fails
   */
  void run(String name, Step step) throws Exception {
    long startNanos = clock.nanoTime();
    step.run();
    events.log(SteeringEvent.STOP_STEP, name, millisSince(signalNanos), millisSince(startNanos));
  }

  /** Returns the time in ms from the signal until now. */
  long elapsedMillis() {
    return millisSince(signalNanos);
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - nanos);
  }
}
