package verbenahatch.routing;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument.Target;

/**
 * Holds what this host knows about one target: its own requests there, their outcomes, and reports.
 *
 * <p>Thread-safe and free of locks. Times are readings of the monotonic clock in nanoseconds.
 */
public final class TargetState {

  /** Reports stop counting for half after this time; they come with answers or once a second. */
  static final long REPORT_HALF_LIFE_NANOS = 5_000_000_000L;

  /**
   * Time over which reports are averaged. Requests of some milliseconds make a single report old at
   * once: hosts that followed the newest one sent half of all requests to full targets in
   * simulation. The mean tells whether a slot is usually free.
   */
  static final long REPORT_MEAN_NANOS = 500_000_000L;

  /** Time over which a target that starts, or returns, takes up to its full share. */
  static final long SLOW_START_NANOS = 10_000_000_000L;

  /** Share of its slots that a target counts with at the start of the slow start. */
  static final double SLOW_START_FLOOR = 0.1;

  /** A target that shed a request is full; its requests take at least some milliseconds. */
  static final long SHED_PAUSE_NANOS = 20_000_000L;

  /** Weight of the newest outcome in the failure rate. */
  private static final double FAILURE_WEIGHT = 0.1;

  /** A target that says it is unwell is used last, but a wrong report must not take it out. */
  private static final double UNWELL_PENALTY = 1;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger failuresInRow = new AtomicInteger();
  private final AtomicInteger outcomes = new AtomicInteger();
  private final AtomicLong failureRateBits = new AtomicLong();
  private volatile int quota;
  private volatile Target target;
  private volatile long slowSinceNanos;
  private volatile long shedNanos;
  private volatile long ejectedUntilNanos;
  private volatile boolean ejected;
  private volatile boolean shedSeen;
  private volatile boolean unwell;
  private volatile int ejections;
  private volatile @Nullable Report report;

  /**
   * Creates the state of a target that was just added.
   *
   * @param target the target
   * @param nowNanos the time; the slow start begins here
   */
  public TargetState(Target target, long nowNanos) {
    this.target = target;
    this.slowSinceNanos = nowNanos;
  }

  /**
   * Holds the mean of load reports.
   *
   * @param others mean number of requests in flight at the target from other hosts
   * @param atNanos when the newest report was asked for
   */
  private record Report(double others, long atNanos) {}

  /** Lets the target take its full share at once, as for targets that ran before this host. */
  public void skipSlowStart() {
    slowSinceNanos -= SLOW_START_NANOS;
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
   * Replaces the description and keeps the counts.
   *
   * @param newer the same target in a newer document
   */
  public void update(Target newer) {
    target = newer;
  }

  /**
   * Returns how many requests this host runs there.
   *
   * @return the number, never negative
   */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Takes a place for one request.
   *
   * @param limit the largest number of requests in flight
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

  /** Returns a place taken with {@link #tryAcquire(int)}. */
  public void release() {
    inFlight.decrementAndGet();
  }

  /**
   * Records a load report.
   *
   * @param reported requests in flight at the target, from all hosts
   * @param askedNanos when the report was asked for
   */
  public void recordLoadReport(long reported, long askedNanos) {
    double others = Math.max(0, reported - inFlight.get());
    Report last = report;
    if (last == null) {
      report = new Report(others, askedNanos);
      return;
    }
    // Two reports at once may lose one of them, which the next ones make up for.
    double passed = Math.max(0, askedNanos - last.atNanos());
    double weight = 1 - Math.pow(0.5, passed / REPORT_MEAN_NANOS);
    report = new Report(last.others() + weight * (others - last.others()), askedNanos);
  }

  /**
   * Records what the target says about its health.
   *
   * @param isUnwell whether it says that it is unwell
   */
  public void recordHealthReport(boolean isUnwell) {
    unwell = isUnwell;
  }

  /**
   * Records that the target shed a request.
   *
   * @param nowNanos the time
   */
  public void recordShed(long nowNanos) {
    shedNanos = nowNanos;
    shedSeen = true;
  }

  /**
   * Records the outcome of a request.
   *
   * @param failed whether the target failed it
   */
  public void recordOutcome(boolean failed) {
    if (failed) {
      failuresInRow.incrementAndGet();
    } else {
      failuresInRow.set(0);
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
   * Returns the rate of failures among recent outcomes.
   *
   * @return from 0 to 1
   */
  public double failureRate() {
    return Double.longBitsToDouble(failureRateBits.get());
  }

  int failuresInRow() {
    return failuresInRow.get();
  }

  int outcomes() {
    return outcomes.get();
  }

  /**
   * Tells whether the target is taken out after failures.
   *
   * @param nowNanos the time
   * @return true until the ejection ends
   */
  public boolean isEjected(long nowNanos) {
    return ejected && nowNanos - ejectedUntilNanos < 0;
  }

  /**
   * Takes the target out for a time; it returns with a slow start.
   *
   * @param untilNanos the end of the ejection
   */
  void eject(long untilNanos) {
    ejections++;
    ejectedUntilNanos = untilNanos;
    slowSinceNanos = untilNanos;
    ejected = true;
    failuresInRow.set(0);
    outcomes.set(0);
    failureRateBits.set(0);
  }

  int ejections() {
    return ejections;
  }

  void forgetEjections() {
    ejections = 0;
  }

  /**
   * Tells whether the target shed a request so recently that it is likely still full.
   *
   * @param nowNanos the time
   * @return true within {@link #SHED_PAUSE_NANOS} of a shed request
   */
  boolean isPaused(long nowNanos) {
    return shedSeen && nowNanos - shedNanos < SHED_PAUSE_NANOS;
  }

  /**
   * Returns the number of slots that the target counts with, smaller in the slow start.
   *
   * @param nowNanos the time
   * @return a positive number
   */
  double effectiveSlots(long nowNanos) {
    int slots = Math.max(1, target.slots());
    long age = nowNanos - slowSinceNanos;
    if (age >= SLOW_START_NANOS) {
      return slots;
    }
    double part = Math.max(0, age) / (double) SLOW_START_NANOS;
    return slots * (SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * part);
  }

  /**
   * Returns how loaded the target is: own requests and the aged report over slots.
   *
   * @param nowNanos the time
   * @return 0 for idle, about 1 for full; higher is worse
   */
  public double score(long nowNanos) {
    double load = inFlight.get() + othersNow(nowNanos);
    double penalty = unwell ? UNWELL_PENALTY : 0;
    return (load + failureRate()) / effectiveSlots(nowNanos) + penalty;
  }

  /**
   * Tells whether own requests and the aged mean of reports leave no slot.
   *
   * @param nowNanos the time
   * @return true if one more request would likely wait at the target
   */
  boolean seemsFull(long nowNanos) {
    return inFlight.get() + othersNow(nowNanos) > target.slots() - 1;
  }

  // The report is bounded by the slots, so that a wrong one cannot keep a target idle for good.
  private double othersNow(long nowNanos) {
    Report last = report;
    if (last == null) {
      return 0;
    }
    double age = Math.max(0, nowNanos - last.atNanos()) / (double) REPORT_HALF_LIFE_NANOS;
    return Math.min(last.others(), target.slots()) * Math.pow(0.5, age);
  }
}
