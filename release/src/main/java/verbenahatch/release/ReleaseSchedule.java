package verbenahatch.release;

/**
 * Decides when the exposure of a release rises, working back from its deadline.
 *
 * <p>A fraction of the time before the deadline is reserved for the rollback. The stages divide the
 * rest: those with a low exposure get most of it, because there a fault affects few requests. A
 * stage ends when its time is over and the new version has handled enough requests; a release that
 * is behind schedule goes through the remaining stages faster, but each lasts at least {@link
 * #minStageMillis()}.
 */
final class ReleaseSchedule {

  /** A decision on what to do with the release. */
  sealed interface Decision {

    /** Nothing changes. */
    record Hold() implements Decision {}

    /** The release enters a stage. */
    record Enter(int stage) implements Decision {}

    /** The release is done. */
    record Finish() implements Decision {}

    /** The release is rolled back. */
    record RollBack(String reason) implements Decision {}
  }

  /** The stage of a release that has not started. */
  static final int NOT_STARTED = -1;

  /**
   * Fraction of requests for the new version at each stage. The last stage keeps a tenth on the old
   * version until the release is done: without it nothing remains to compare with, and a failure of
   * a dependency could not be distinguished from a fault of the new version.
   */
  private static final double[] EXPOSURE = {0.01, 0.05, 0.25, 0.50, 0.90};

  /** End of each stage as a fraction of the time before the reserve. */
  private static final double[] STAGE_ENDS = {0.30, 0.55, 0.75, 0.88, 1.0};

  /** Number of requests that the new version must have handled in each stage. */
  private static final long[] MIN_REQUESTS = {30, 100, 300, 500, 500};

  /** Fraction of the whole time that is reserved for the rollback. */
  private static final double RESERVE_FRACTION = 0.10;

  private static final long MAX_RESERVE_MILLIS = 300_000;

  /** Minimum duration of a stage as a fraction of the time before the reserve. */
  private static final double MIN_STAGE_FRACTION = 0.03;

  private final long startMillis;
  private final long deadlineMillis;
  private final long reserveMillis;

  /**
   * Creates the schedule of one release.
   *
   * @param startMillis the earliest start, in wall-clock milliseconds
   * @param deadlineMillis the deadline, in wall-clock milliseconds
   */
  ReleaseSchedule(long startMillis, long deadlineMillis) {
    this.startMillis = startMillis;
    this.deadlineMillis = deadlineMillis;
    this.reserveMillis =
        Math.min(MAX_RESERVE_MILLIS, (long) ((deadlineMillis - startMillis) * RESERVE_FRACTION));
  }

  static double exposure(int stage) {
    return stage < 0 ? 0 : EXPOSURE[Math.min(stage, EXPOSURE.length - 1)];
  }

  /**
   * Decides what to do with the release.
   *
   * @param nowMillis the current wall-clock time, in milliseconds
   * @param stage the current stage or {@link #NOT_STARTED}
   * @param sinceMillis when the stage was entered, in wall-clock milliseconds
   * @param requests the number of requests that the new version handled in this stage
   * @return the decision, not null
   */
  Decision decide(long nowMillis, int stage, long sinceMillis, long requests) {
    if (nowMillis < startMillis) {
      return new Decision.Hold();
    }
    boolean started = stage != NOT_STARTED;
    boolean hasEnoughRequests = started && requests >= MIN_REQUESTS[stage];
    if (nowMillis >= lastFinishMillis()) {
      return new Decision.RollBack(describeOverdue(started, hasEnoughRequests, stage, requests));
    }
    if (!started) {
      return new Decision.Enter(0);
    }
    boolean isDue =
        nowMillis >= stageEndMillis(stage) && nowMillis - sinceMillis >= minStageMillis();
    if (!hasEnoughRequests || !isDue) {
      return new Decision.Hold();
    }
    return stage == EXPOSURE.length - 1 ? new Decision.Finish() : new Decision.Enter(stage + 1);
  }

  private static String describeOverdue(
      boolean started, boolean hasEnoughRequests, int stage, long requests) {
    if (!started) {
      return "not started before the deadline";
    }
    if (hasEnoughRequests) {
      return "not at full exposure in time for the deadline";
    }
    return "thin evidence at the deadline: "
        + requests
        + " of "
        + MIN_REQUESTS[stage]
        + " requests in stage "
        + (stage + 1);
  }

  /**
   * Returns the latest time to finish. Half of the reserve absorbs delays such as a short store
   * outage.
   */
  private long lastFinishMillis() {
    return deadlineMillis - reserveMillis / 2;
  }

  private long usableMillis() {
    return deadlineMillis - reserveMillis - startMillis;
  }

  private long stageEndMillis(int stage) {
    return startMillis + (long) (usableMillis() * STAGE_ENDS[stage]);
  }

  /** Returns the minimum duration of a stage, in milliseconds. */
  long minStageMillis() {
    return (long) (usableMillis() * MIN_STAGE_FRACTION);
  }
}
