package verbenahatch.steering;

import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Holds the request to stop a host.
 *
 * <p>It may come while the host still starts. On a busy machine a start takes seconds, in which the
 * host serves callers already, so the stop must be in force before the start has ended.
 * Thread-safe.
 */
public final class StopSignal {

  private final long graceMillis;
  private final AtomicReference<@Nullable StopPlan> plan = new AtomicReference<>();

  /**
   * Creates a signal that has not arrived.
   *
   * @param graceMillis the time from SIGTERM to SIGKILL in ms
   */
  public StopSignal(long graceMillis) {
    this.graceMillis = graceMillis;
  }

  /**
   * Requests the stop; only the first call has an effect.
   *
   * @param signalNanos when SIGTERM arrived, in ns of the monotonic clock
   */
  public void arrive(long signalNanos) {
    plan.compareAndSet(null, new StopPlan(signalNanos, graceMillis));
  }

  /** Returns the plan of the stop, null if none was requested. */
  @Nullable StopPlan plan() {
    return plan.get();
  }
}
