package verbenahatch.steering;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import verbenahatch.steering.ReleaseTable.VersionRule;

/** Tells why a target gets no request at present. */
enum TargetExclusion {
  /** Its entry is gone or draining, or the target announced that it is about to stop. */
  DRAINING,
  /** It could not be reached, or timed out. */
  EJECTED,
  /** Its zone is evacuated. */
  EVACUATED,
  /** Route and workspace do not allow its region. */
  OTHER_REGION,
  /** The version rule does not allow its version. */
  OTHER_VERSION,
  /** It is tried with one request at a time after an ejection. */
  PROBING,
  /** It is cold, and other hosts warm it up or it tolerates no further request at present. */
  COLD,
  /** It asked this host for a pause. */
  PAUSED;

  /**
   * Returns why a target gets no request; changes nothing.
   *
   * @param target the target
   * @param evacuated whether its zone is evacuated
   * @param allowedRegions the regions in which the request may run; empty if it may run in all
   * @param rule the versions that the request may use
   * @param warmUpOwner whether this host is one of those that warm the target up
   * @param nowNanos the current time in ns
   * @return the first reason, null if the target may get the request
   */
  static @Nullable TargetExclusion of(
      Target target,
      boolean evacuated,
      Set<String> allowedRegions,
      VersionRule rule,
      boolean warmUpOwner,
      long nowNanos) {
    if (!target.acceptsRequests()) {
      return DRAINING;
    }
    if (target.isEjected(nowNanos)) {
      return EJECTED;
    }
    if (evacuated) {
      return EVACUATED;
    }
    if (!allowedRegions.isEmpty() && !allowedRegions.contains(target.region)) {
      return OTHER_REGION;
    }
    if (!rule.allows(target.record().version())) {
      return OTHER_VERSION;
    }
    if (target.isProbing() && target.inFlight.get() > 0) {
      return PROBING;
    }
    boolean mayWarmUp = warmUpOwner && target.wouldHaveWarmUpToken(nowNanos);
    if (target.isCold(nowNanos) && !mayWarmUp) {
      return COLD;
    }
    return target.backOffMillis(nowNanos) > 0 ? PAUSED : null;
  }
}
