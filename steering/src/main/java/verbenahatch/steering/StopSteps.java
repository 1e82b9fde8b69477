package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Events;

/**
 * Runs the steps of a graceful stop and logs the time that each one takes.
 *
 * <p>A step that fails is logged and the next one runs: requests in flight depend on the later
 * steps. Must be used by one thread.
 */
final class StopSteps {

  private static final long POLL_MILLIS = 10;

  /** A step of a stop. */
  interface Step {

    /** Runs the step. */
    void run() throws Exception;
  }

  private final Clock clock;
  private final Events events;
  private final long signalNanos;
  private boolean interrupted;

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
   * Runs a step and logs when it ended; logs its failure, if any.
   *
   * @param name the name of the step in the log
   * @param step the step
   */
  void run(String name, Step step) {
    long startNanos = clock.nanoTime();
    try {
      step.run();
    } catch (InterruptedException e) {
      interrupted = true;
      log(SteeringEvent.TASK_FAILED, "stop step " + name, e.toString());
    } catch (Exception | Error e) {
      log(SteeringEvent.TASK_FAILED, "stop step " + name, e.toString());
    }
    log(SteeringEvent.STOP_STEP, name, millisSince(signalNanos), millisSince(startNanos));
  }

  /**
   * Waits as one step; an interrupt does not shorten it.
   *
   * @param name the name of the step in the log
   * @param remainingMillis returns the longest time to wait from now on, in ms
   * @param done returns whether the wait may end earlier
   */
  void waitUntil(String name, LongSupplier remainingMillis, BooleanSupplier done) {
    run(
        name,
        () -> {
          for (long left = remainingMillis.getAsLong();
              left > 0 && !done.getAsBoolean();
              left = remainingMillis.getAsLong()) {
            sleep(Math.min(POLL_MILLIS, left));
          }
        });
  }

  /**
   * Waits for a fixed time as one step, like {@link #waitUntil(String, LongSupplier,
   * BooleanSupplier)}.
   *
   * @param name the name of the step in the log
   * @param millis the longest time to wait, in ms
   * @param done returns whether the wait may end earlier
   */
  void waitUntil(String name, long millis, BooleanSupplier done) {
    long startNanos = clock.nanoTime();
    waitUntil(name, () -> millis - millisSince(startNanos), done);
  }

  private void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      interrupted = true;
    }
  }

  /** Restores the interrupt status of the thread if a step was interrupted. */
  void restoreInterrupt() {
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes an event; a log that fails must not end the stop. */
  void log(SteeringEvent event, Object... args) {
    try {
      events.log(event, args);
    } catch (RuntimeException | Error e) {
      // There is no other place for the failure, and the stop must go on.
    }
  }

  /** Returns the time in ms from the signal until now. */
  long elapsedMillis() {
    return millisSince(signalNanos);
  }

  private long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(clock.nanoTime() - nanos);
  }
}
