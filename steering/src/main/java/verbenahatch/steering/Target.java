package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.model.TargetRecord;
import verbenahatch.steering.model.WireProtocol.TargetLoad;

/**
 * Holds what this host knows of one incarnation of a target.
 *
 * <p>Thread-safe. Load reports lag, so the host's own requests in flight are counted exactly and
 * only those of other hosts are taken from reports.
 */
final class Target {

  /** Weight of the newest load report in the mean of other hosts' load. */
  private static final double REPORT_WEIGHT = 0.5;

  /**
   * Reports of a target lose half of their weight in this time against the beats of other hosts,
   * which come about as often.
   */
  private static final double REPORT_HALF_LIFE_MILLIS = 300;

  /** Weight of the newest outcome in the share of failures. */
  private static final double FAILURE_WEIGHT = 0.15;

  /** A share of failures halves in this time, so that a target that recovered is tried again. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

  /** Weight of the newest answer in the slowness of a target. */
  private static final double SLOWNESS_WEIGHT = 0.25;

  /** Bounds of the slowness of a target relative to its service. */
  private static final double MIN_SLOWNESS = 0.5;

  private static final double MAX_SLOWNESS = 8;

  /** First time for which an unreachable target is avoided; doubles with each further failure. */
  private static final long FIRST_EJECTION_MILLIS = 500;

  private static final long MAX_EJECTION_MILLIS = 3_000;

  final String region;
  final long idHash;
  final AtomicInteger inFlight = new AtomicInteger();
  final RecentObjects recent = new RecentObjects();
  private volatile TargetRecord record;
  private volatile long coldUntilNanos;
  private volatile long ejectedUntilNanos;
  private volatile boolean ejected;
  private volatile boolean gone;
  private volatile boolean used;
  private final AtomicInteger failuresInRow = new AtomicInteger();
  private volatile double othersLoad;
  private volatile long reportNanos;
  private volatile int usedByPeers;
  private volatile double failureShare;
  private volatile long failureNanos;
  private volatile double slowness = 1;
  private volatile long slownessNanos;
  private volatile @Nullable TokenBucket warmUp;

  Target(TargetRecord record, String region, long nowNanos) {
    this.record = record;
    this.region = region;
    this.idHash = Hashing.of(record.id());
    this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.coldMillis());
    this.ejectedUntilNanos = nowNanos;
    this.reportNanos = nowNanos;
    this.failureNanos = nowNanos;
  }

  TargetRecord record() {
    return record;
  }

  /** Takes over a newer entry of the same incarnation. */
  void update(TargetRecord newer, long nowNanos) {
    record = newer;
    if (newer.coldMillis() > 0) {
      coldFor(newer.coldMillis(), nowNanos);
    }
  }

  void coldFor(long millis, long nowNanos) {
    long until = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    if (until - coldUntilNanos > 0) {
      coldUntilNanos = until;
    }
  }

  boolean isCold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  void markGone() {
    gone = true;
  }

  /** Notes that this host sent the target a request. */
  void markUsed() {
    used = true;
  }

  boolean isUsed() {
    return used;
  }

  /** Tells whether the registry allows new requests. */
  boolean isOffered() {
    return !gone && !record.draining();
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos - nowNanos > 0;
  }

  /** Tells whether the last ejection was not followed by an answer yet. */
  boolean isOnTrial() {
    return ejected;
  }

  /** Returns the bucket for requests while the target is cold. */
  TokenBucket warmUp(double ratePerSecond, long nowNanos) {
    TokenBucket bucket = warmUp;
    if (bucket == null) {
      // A burst of one request keeps the sum over the owners inside the allowed overshoot.
      bucket = new TokenBucket(ratePerSecond, 1, 1, nowNanos);
      warmUp = bucket;
    }
    bucket.set(ratePerSecond, 1, nowNanos);
    return bucket;
  }

  /** Estimates the requests that run or wait at the target. */
  double load(long nowNanos) {
    double fresh = decay(nowNanos - reportNanos, REPORT_HALF_LIFE_MILLIS);
    return inFlight.get() + othersLoad * fresh + usedByPeers * (1 - fresh);
  }

  /** Takes the requests that other hosts say they have in flight at the target. */
  void usedByPeers(int requests) {
    usedByPeers = requests;
  }

  double failureShare(long nowNanos) {
    return failureShare * decay(nowNanos - failureNanos, FAILURE_HALF_LIFE_MILLIS);
  }

  /** Returns the time to answer relative to the other targets of the service. */
  double slowness(long nowNanos) {
    double fade = decay(nowNanos - slownessNanos, FAILURE_HALF_LIFE_MILLIS);
    return 1 + (slowness - 1) * fade;
  }

  void reported(@Nullable TargetLoad load, long nowNanos) {
    if (load == null) {
      return;
    }
    double others = Math.max(0, load.running() + load.waiting() - inFlight.get());
    othersLoad = othersLoad + REPORT_WEIGHT * (others - othersLoad);
    reportNanos = nowNanos;
  }

  void succeeded(double relativeTime, long nowNanos) {
    failuresInRow.set(0);
    ejected = false;
    failureShare = failureShare(nowNanos) * (1 - FAILURE_WEIGHT);
    failureNanos = nowNanos;
    double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, relativeTime));
    slowness = slowness(nowNanos) + SLOWNESS_WEIGHT * (bounded - slowness(nowNanos));
    slownessNanos = nowNanos;
  }

  /** Counts an answer that says that the request failed, from a target that is reachable. */
  void failed(long nowNanos) {
    failureShare = failureShare(nowNanos) + FAILURE_WEIGHT * (1 - failureShare(nowNanos));
    failureNanos = nowNanos;
  }

  /**
   * Avoids the target for a time after it could not be reached or kept silent.
   *
   * @return the time in milliseconds, 0 if it is avoided already
   */
  long eject(long nowNanos) {
    failed(nowNanos);
    if (isEjected(nowNanos)) {
      return 0;
    }
    int failures = Math.min(8, failuresInRow.incrementAndGet());
    long millis = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << (failures - 1));
    ejected = true;
    ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    return millis;
  }

  private static double decay(long ageNanos, double halfLifeMillis) {
    return Math.exp(-Math.max(0, ageNanos) / (halfLifeMillis * 1e6) * Math.log(2));
  }
}
