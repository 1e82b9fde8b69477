package verbenahatch.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument.Target;

/**
 * Holds this host's view of one target: its own requests in flight there, their outcomes, and load
 * reports.
 *
 * <p>Thread-safe and lock-free. Times are readings of the monotonic clock in nanoseconds.
 */
public final class TargetState {

  /** Age at which a load report counts half; reports arrive with responses or once a second. */
  static final long REPORT_HALF_LIFE_NANOS = 5_000_000_000L;

  /**
   * Time over which load reports are averaged. With requests of a few milliseconds, a single report
   * is outdated at once: in simulation, hosts that used only the newest one sent half of all
   * requests to full targets. The mean shows whether a slot is usually free.
   */
  static final long REPORT_AVERAGING_NANOS = 500_000_000L;

  /**
   * Duration of the slow start, in which a new target, or one that returns after an ejection,
   * reaches its full share.
   */
  static final long SLOW_START_NANOS = 10_000_000_000L;

  /** Fraction of its slots that a target counts with at the beginning of the slow start. */
  static final double SLOW_START_FLOOR = 0.1;

  /**
   * Time for which a target that shed a request gets no others: it is full, and its requests take
   * at least some milliseconds.
   */
  static final long SHED_PAUSE_NANOS = 20_000_000L;

  /** Weight of the newest outcome in the failure rate. */
  private static final double FAILURE_WEIGHT = 0.1;

  /**
   * Added to the score of a target that reports itself unhealthy: it is used last, but a wrong
   * report must not exclude it.
   */
  private static final double UNHEALTHY_PENALTY = 1;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private final AtomicInteger outcomes = new AtomicInteger();
  private final AtomicLong failureRateBits = new AtomicLong();
  private volatile int quota;
  private volatile Target target;
  private volatile long rampStartNanos;
  private volatile long lastShedNanos;
  private volatile long ejectedUntilNanos;
  private volatile boolean ejected;
  private volatile boolean hasShed;
  private volatile boolean unhealthy;
  private volatile int ejections;
  private volatile @Nullable Report loadReport;

  /**
   * Creates the state of a target that was just added.
   *
   * @param target the target
   * @param nowNanos the current time, at which the slow start begins
   */
  public TargetState(Target target, long nowNanos) {
    this.target = target;
    this.rampStartNanos = nowNanos;
  }

  /**
   * The mean of load reports.
   *
   * @param othersInFlight the mean number of requests in flight at the target from other hosts
   * @param requestedNanos when the newest report was requested
   */
  private record Report(double othersInFlight, long requestedNanos) {}

  /**
   * Ends the slow start, so that the target gets its full share at once, as for targets that ran
   * before this host started.
   */
  public void skipSlowStart() {
    rampStartNanos -= SLOW_START_NANOS;
  }

  /**
   * Returns the target.
   *
   * @return the target of the newest document
   */
  public Target target() {
    return target;
  }

  /**
   * Replaces the description of the target and keeps its counts.
   *
   * @param newer the same target in a newer document
   */
  public void update(Target newer) {
    target = newer;
  }

  /**
   * Returns the number of this host's requests in flight at the target.
   *
   * @return the number, never negative
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Takes a slot for one request.
   *
   * @param limit the largest number of this host's requests in flight at the target
   * @return false if the limit is reached
   */
  public boolean tryAcquire(int limit) {
    while (true) {
      int current = inFlight.get();
      if (current >= limit) {
        return false;
      }
      if (inFlight.compareAndSet(current, current + 1)) {
        return true;
      }
    }
  }

  int quota() {
    return quota;
  }

  void setQuota(int slots) {
    quota = slots;
  }

  boolean isWithinQuota() {
    return inFlight.get() < quota;
  }

  /** Releases a slot taken with {@link #tryAcquire(int)}. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /**
   * Records a load report.
   *
   * @param reportedInFlight the number of requests in flight at the target, from all hosts
   * @param requestedNanos when the report was requested
   */
  public void recordLoadReport(long reportedInFlight, long requestedNanos) {
    double othersInFlight = Math.max(0, reportedInFlight - inFlight.get());
    Report previous = loadReport;
    if (previous == null) {
      loadReport = new Report(othersInFlight, requestedNanos);
      return;
    }
    // If two threads record at once, one of the reports may be lost; the next ones compensate for
    // it.
    double elapsed = Math.max(0, requestedNanos - previous.requestedNanos());
    double weight = 1 - Math.pow(0.5, elapsed / REPORT_AVERAGING_NANOS);
    loadReport =
        new Report(
            previous.othersInFlight() + weight * (othersInFlight - previous.othersInFlight()),
            requestedNanos);
  }

  /**
   * Records a health report of the target.
   *
   * @param isUnhealthy whether the target reports itself unhealthy
   */
  public void recordHealthReport(boolean isUnhealthy) {
    unhealthy = isUnhealthy;
  }

  /**
   * Records that the target shed a request.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   */
  public void recordShed(long nowNanos) {
    lastShedNanos = nowNanos;
    hasShed = true;
  }

  /**
   * Records the outcome of a request.
   *
   * @param failed whether the target failed it
   */
  public void recordOutcome(boolean failed) {
    if (failed) {
      consecutiveFailures.incrementAndGet();
    } else {
      consecutiveFailures.set(0);
    }
    if (outcomes.get() < Integer.MAX_VALUE) {
      outcomes.incrementAndGet();
    }
    double sample = failed ? 1 : 0;
    failureRateBits.updateAndGet(
        bits -> {
          double rate = Double.longBitsToDouble(bits);
          return Double.doubleToLongBits(rate + FAILURE_WEIGHT * (sample - rate));
        });
  }

  /**
   * Returns the failure rate of recent outcomes.
   *
   * @return an exponentially weighted mean, from 0 to 1
   */
  public double failureRate() {
    return Double.longBitsToDouble(failureRateBits.get());
  }

  int consecutiveFailures() {
    return consecutiveFailures.get();
  }

  int outcomes() {
    return outcomes.get();
  }

  /**
   * Returns whether the target is ejected after failures.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return true until the ejection ends
   */
  public boolean isEjected(long nowNanos) {
    return ejected && nowNanos - ejectedUntilNanos < 0;
  }

  /**
   * Ejects the target for a time; it returns with a slow start.
   *
   * @param untilNanos the end of the ejection
   */
  void eject(long untilNanos) {
    ejections++;
    ejectedUntilNanos = untilNanos;
    rampStartNanos = untilNanos;
    ejected = true;
    consecutiveFailures.set(0);
    outcomes.set(0);
    failureRateBits.set(0);
  }

  int ejections() {
    return ejections;
  }

  void resetEjections() {
    ejections = 0;
  }

  /**
   * Returns whether the target shed a request so recently that it is likely still full.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return true within {@link #SHED_PAUSE_NANOS} of a shed request
   */
  boolean hasRecentlyShed(long nowNanos) {
    return hasShed && nowNanos - lastShedNanos < SHED_PAUSE_NANOS;
  }

  /**
   * Returns the number of slots that the target counts with, which is smaller during the slow
   * start.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return a positive number
   */
  double effectiveSlots(long nowNanos) {
    int slots = Math.max(1, target.slots());
    long age = nowNanos - rampStartNanos;
    if (age >= SLOW_START_NANOS) {
      return slots;
    }
    double progress = Math.max(0, age) / (double) SLOW_START_NANOS;
    return slots * (SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * progress);
  }

  /**
   * Returns the load score of the target: this host's requests in flight, the aged load report and
   * the failure rate over the effective slots, plus a penalty if it is unhealthy.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return 0 for idle, about 1 for full; higher is worse
   */
  public double score(long nowNanos) {
    double load = inFlight.get() + agedOthersInFlight(nowNanos);
    double penalty = unhealthy ? UNHEALTHY_PENALTY : 0;
    return (load + failureRate()) / effectiveSlots(nowNanos) + penalty;
  }

  /**
   * Returns whether this host's requests in flight and the aged mean of load reports leave no free
   * slot.
   *
   * @param nowNanos the current time, in nanoseconds of the monotonic clock
   * @return true if one more request would likely wait at the target
   */
  boolean seemsFull(long nowNanos) {
    return inFlight.get() + agedOthersInFlight(nowNanos) > target.slots() - 1;
  }

  // The report is bounded by the slots, so that a wrong one cannot keep a target idle permanently.
  private double agedOthersInFlight(long nowNanos) {
    Report previous = loadReport;
    if (previous == null) {
      return 0;
    }
    double age =
        Math.max(0, nowNanos - previous.requestedNanos()) / (double) REPORT_HALF_LIFE_NANOS;
    return Math.min(previous.othersInFlight(), target.slots()) * Math.pow(0.5, age);
  }
}
