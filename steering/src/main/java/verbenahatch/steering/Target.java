package verbenahatch.steering;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.routing.TargetKey;
import verbenahatch.routing.TargetRanking;
import verbenahatch.steering.model.TargetRecord;
import verbenahatch.steering.model.WireProtocol.TargetLoad;

/**
 * Holds this host's view of one incarnation of a target.
 *
 * <p>Thread-safe. Load reports lag, so this host's own requests in flight are counted exactly and
 * only those of other hosts are taken from reports.
 */
final class Target {

  /** Weight of the newest load report in the moving average of other hosts' load. */
  private static final double NEWEST_REPORT_WEIGHT = 0.5;

  /**
   * Time in which load reports of a target lose half of their weight against the heartbeats of
   * other hosts, which arrive about as often.
   */
  private static final double REPORT_HALF_LIFE_MILLIS = 300;

  /** Weight of the newest outcome in the failure rate. */
  private static final double NEWEST_OUTCOME_WEIGHT = 0.15;

  /** Half-life of the failure rate, so that a target that recovered is used again. */
  private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

  /** Weight of the newest response in the slowness of a target. */
  private static final double NEWEST_SLOWNESS_WEIGHT = 0.25;

  /** Bounds of the response time of a target relative to its service. */
  private static final double MIN_SLOWNESS = 0.5;

  private static final double MAX_SLOWNESS = 8;

  /** Duration of the first ejection of a target; doubles with each consecutive failure. */
  private static final long FIRST_EJECTION_MILLIS = 500;

  private static final long MAX_EJECTION_MILLIS = 3_000;

  /** Keeps times of the clock from wrapping if a target asks for an absurdly long back-off. */
  private static final long MAX_BACK_OFF_MILLIS = TimeUnit.DAYS.toMillis(1);

  final String region;
  final long idHash;

  /** The hash by which the target is ranked for objects; outlasts a new entry of the target. */
  final long keyHash;

  final AtomicInteger inFlight = new AtomicInteger();
  final RecentObjects recentObjects = new RecentObjects();
  private volatile TargetRecord record;
  private volatile long coldUntilNanos;
  private volatile long ejectedUntilNanos;
  private volatile boolean probing;
  private volatile boolean removed;
  private volatile boolean leaving;
  private volatile long backOffUntilNanos;
  private volatile boolean used;
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private volatile double peerLoad;
  private volatile long reportNanos;
  private volatile double reportedWorkTime = 1;
  private volatile int peerInFlight;
  private volatile double failureRate;
  private volatile long failureNanos;
  private volatile double slowness = 1;
  private volatile long slownessNanos;
  private volatile @Nullable TokenBucket warmUpBucket;

  Target(TargetRecord record, String region, long nowNanos) {
    this.record = record;
    this.region = region;
    this.idHash = Hashing.of(record.id());
    this.keyHash = TargetKey.hash(record.service(), record.address(), record.port(), record.id());
    this.coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(record.coldMillis());
    this.ejectedUntilNanos = nowNanos;
    this.backOffUntilNanos = nowNanos;
    this.reportNanos = nowNanos;
    this.failureNanos = nowNanos;
  }

  TargetRecord record() {
    return record;
  }

  /** Returns the number of requests that the target runs at the same time, at least 1. */
  int slots() {
    return TargetRanking.boundedSize(record.slots());
  }

  /** Replaces the registry entry by a newer one of the same incarnation. */
  void update(TargetRecord newRecord, long nowNanos) {
    record = newRecord;
    if (newRecord.coldMillis() > 0) {
      extendCold(newRecord.coldMillis(), nowNanos);
    }
  }

  void extendCold(long durationMillis, long nowNanos) {
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    if (untilNanos - coldUntilNanos > 0) {
      coldUntilNanos = untilNanos;
    }
  }

  boolean isCold(long nowNanos) {
    return coldUntilNanos - nowNanos > 0;
  }

  void markRemoved() {
    removed = true;
  }

  /**
   * Records that the target announced in a response that it is about to stop; lasts, because its
   * registry entry may say otherwise for some time.
   *
   * @return false if this was recorded before
   */
  boolean markLeaving() {
    boolean first = !leaving;
    leaving = true;
    return first;
  }

  boolean isLeaving() {
    return leaving;
  }

  /**
   * Sends the target no requests for a time that it asked for; does not shorten an earlier one.
   *
   * @param durationMillis the time in ms, not negative
   * @param nowNanos the current time in ns
   * @return whether the target took requests until now
   */
  boolean backOff(long durationMillis, long nowNanos) {
    long boundedMillis = Math.min(MAX_BACK_OFF_MILLIS, durationMillis);
    long untilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(boundedMillis);
    boolean first = backOffMillis(nowNanos) == 0;
    if (untilNanos - backOffUntilNanos > 0) {
      backOffUntilNanos = untilNanos;
    }
    return first;
  }

  /**
   * Returns for how many ms the target still wants no requests of this host, 0 if it takes them.
   */
  long backOffMillis(long nowNanos) {
    long nanos = backOffUntilNanos - nowNanos;
    return nanos <= 0 ? 0 : TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
  }

  /** Records that this host sent the target a request. */
  void markUsed() {
    used = true;
  }

  boolean isUsed() {
    return used;
  }

  /** Returns whether the target is registered and neither draining nor leaving. */
  boolean acceptsRequests() {
    return !removed && !leaving && !record.draining();
  }

  boolean isEjected(long nowNanos) {
    return ejectedUntilNanos - nowNanos > 0;
  }

  /** Returns whether the target has not responded successfully since its last ejection. */
  boolean isProbing() {
    return probing;
  }

  /** Returns the bucket that limits requests while the target is cold, set to a rate in 1/s. */
  TokenBucket warmUpBucket(double ratePerSecond, long nowNanos) {
    TokenBucket bucket = warmUpBucket;
    if (bucket == null) {
      // A burst of one request keeps the sum over the owners within the allowed overshoot.
      bucket = new TokenBucket(ratePerSecond, 1, 1, nowNanos);
      warmUpBucket = bucket;
    }
    bucket.set(ratePerSecond, 1, nowNanos);
    return bucket;
  }

  /** Returns whether the warm-up bucket would allow a request; neither creates nor changes it. */
  boolean wouldHaveWarmUpToken(long nowNanos) {
    TokenBucket bucket = warmUpBucket;
    return bucket == null || bucket.wouldHaveToken(nowNanos);
  }

  /** Returns the estimated number of requests that run or wait at the target. */
  double load(long nowNanos) {
    double reportWeight = decay(nowNanos - reportNanos, REPORT_HALF_LIFE_MILLIS);
    return inFlight.get() + peerLoad * reportWeight + peerInFlight * (1 - reportWeight);
  }

  /** Sets the number of requests that other hosts report in flight at the target. */
  void setPeerInFlight(int requests) {
    peerInFlight = requests;
  }

  double failureRate(long nowNanos) {
    return failureRate * decay(nowNanos - failureNanos, FAILURE_HALF_LIFE_MILLIS);
  }

  /** Returns the response time relative to the mean of the service; 1 if it is average. */
  double slowness(long nowNanos) {
    double weight = decay(nowNanos - slownessNanos, FAILURE_HALF_LIFE_MILLIS);
    return 1 + (slowness - 1) * weight;
  }

  /**
   * Returns how long work takes on the target's machine relative to the usual time, as reported.
   *
   * <p>Machines change their speed many times per second, so a report counts as long as one of the
   * load.
   */
  double workTimeFactor(long nowNanos) {
    double weight = decay(nowNanos - reportNanos, REPORT_HALF_LIFE_MILLIS);
    return 1 + (reportedWorkTime - 1) * weight;
  }

  void recordLoad(@Nullable TargetLoad load, long nowNanos) {
    if (load == null) {
      return;
    }
    double peerLoadNow = Math.max(0, load.running() + load.waiting() - inFlight.get());
    peerLoad = peerLoad + NEWEST_REPORT_WEIGHT * (peerLoadNow - peerLoad);
    double workTime = load.workTimePercent() / 100.0;
    reportedWorkTime = Math.max(1 / MAX_SLOWNESS, Math.min(MAX_SLOWNESS, workTime));
    reportNanos = nowNanos;
  }

  void recordSuccess(double relativeTime, long nowNanos) {
    consecutiveFailures.set(0);
    probing = false;
    failureRate = failureRate(nowNanos) * (1 - NEWEST_OUTCOME_WEIGHT);
    failureNanos = nowNanos;
    double bounded = Math.max(MIN_SLOWNESS, Math.min(MAX_SLOWNESS, relativeTime));
    slowness = slowness(nowNanos) + NEWEST_SLOWNESS_WEIGHT * (bounded - slowness(nowNanos));
    slownessNanos = nowNanos;
  }

  /** Records a failed request in the failure rate, without ejecting the target. */
  void recordFailure(long nowNanos) {
    failureRate = failureRate(nowNanos) + NEWEST_OUTCOME_WEIGHT * (1 - failureRate(nowNanos));
    failureNanos = nowNanos;
  }

  /**
   * Ejects the target for a time after it could not be reached or timed out.
   *
   * @return the duration of the ejection in milliseconds, 0 if the target is ejected already
   */
  long eject(long nowNanos) {
    recordFailure(nowNanos);
    if (isEjected(nowNanos)) {
      return 0;
    }
    int failures = Math.min(8, consecutiveFailures.incrementAndGet());
    long durationMillis = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << (failures - 1));
    probing = true;
    ejectedUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    return durationMillis;
  }

  private static double decay(long ageNanos, double halfLifeMillis) {
    return Math.exp(-Math.max(0, ageNanos) / (halfLifeMillis * 1e6) * Math.log(2));
  }
}
