package verbenahatch.release;

import java.time.Instant;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import verbenahatch.model.EnvironmentDocument;

/** Holds what this host knows about one release. Thread-safe. */
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

  /** Returns the newest record of this release; null before the first. */
  @Nullable ReleaseRecord record() {
    return record;
  }

  /**
   * Adopts a record of this release if it is newer.
   *
   * @return true if it was newer
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
   * Halts the release for good.
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

  /** Tells whether this release still takes part in steering its service. */
  boolean isOver() {
    ReleaseRecord current = record;
    return haltReason != null
        || (current != null && current.state() == ReleaseRecord.State.REVERSED);
  }

  /**
   * Returns the share of requests for the new version.
   *
   * @param fresh whether this host certainly knows every halt accepted by now, but for the bound of
   *     freshness; a host that does not must send nothing to a version under test
   */
  double exposure(boolean fresh) {
    ReleaseRecord current = record;
    if (current == null || isOver()) {
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
    String halted = haltReason;
    String reason = halted != null ? halted : current == null ? "" : current.reason();
    return new ReleaseStatus(
        plan.id(),
        plan.service(),
        plan.fromVersion(),
        plan.toVersion(),
        plan.deadline(),
        halted != null ? "reversed" : state,
        exposure(fresh),
        current == null ? 0 : current.stage() + 1,
        reason);
  }
}
