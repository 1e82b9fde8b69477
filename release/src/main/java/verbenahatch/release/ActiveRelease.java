package verbenahatch.release;

import java.time.Instant;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;

/** Holds this host's view of one release. Thread-safe. */
final class ActiveRelease {

  private final EnvironmentDocument.Release plan;
  private final ReleaseSchedule schedule;
  private final HostEvidence hostEvidence = new HostEvidence();
  private final FleetEvidence fleetEvidence = new FleetEvidence();
  private volatile @Nullable ReleaseRecord record;
  private volatile @Nullable String haltReason;

  ActiveRelease(EnvironmentDocument.Release plan) {
    this.plan = plan;
    this.schedule =
        new ReleaseSchedule(
            Instant.parse(plan.startAt()).toEpochMilli(),
            Instant.parse(plan.deadline()).toEpochMilli());
  }

  EnvironmentDocument.Release plan() {
    return plan;
  }

  ReleaseSchedule schedule() {
    return schedule;
  }

  HostEvidence hostEvidence() {
    return hostEvidence;
  }

  FleetEvidence fleetEvidence() {
    return fleetEvidence;
  }

  /** Returns the newest record of this release, null before the first. */
  @Nullable ReleaseRecord record() {
    return record;
  }

  /**
   * Adopts a record if it belongs to this release and is newer than the current one.
   *
   * @return true if it was adopted
   */
  synchronized boolean adopt(ReleaseRecord offered) {
    ReleaseRecord current = record;
    if (!offered.release().equals(plan.id())
        || (current != null && offered.generation() <= current.generation())) {
      return false;
    }
    record = offered;
    return true;
  }

  @Nullable String haltReason() {
    return haltReason;
  }

  /**
   * Halts the release permanently; the first reason is kept.
   *
   * @return true if it was not halted before
   */
  synchronized boolean halt(String reason) {
    if (haltReason != null) {
      return false;
    }
    haltReason = reason;
    return true;
  }

  /**
   * Returns whether this release was halted or rolled back, so that it no longer affects the
   * steering of its service.
   */
  boolean isHaltedOrRolledBack() {
    ReleaseRecord current = record;
    return haltReason != null
        || (current != null && current.state() == ReleaseRecord.State.REVERSED);
  }

  /**
   * Returns the fraction of requests that this host sends to the new version.
   *
   * @param fresh whether this host is certain to know every halt accepted up to now, within the
   *     bound of freshness; a host that is not must send no requests to a version under test
   * @return the fraction, from 0 to 1
   */
  double exposure(boolean fresh) {
    ReleaseRecord current = record;
    if (current == null || isHaltedOrRolledBack()) {
      return 0;
    }
    if (current.state() == ReleaseRecord.State.DONE) {
      return 1;
    }
    return fresh ? current.exposure() : 0;
  }

  ReleaseStatus status(boolean fresh) {
    ReleaseRecord current = record;
    String state = current == null ? "planned" : current.state().name().toLowerCase(Locale.ROOT);
    String currentHaltReason = haltReason;
    String reason =
        currentHaltReason != null ? currentHaltReason : current == null ? "" : current.reason();
    return new ReleaseStatus(
        plan.id(),
        plan.service(),
        plan.fromVersion(),
        plan.toVersion(),
        plan.deadline(),
        currentHaltReason != null ? "reversed" : state,
        exposure(fresh),
        current == null ? 0 : current.stage() + 1,
        reason);
  }
}
