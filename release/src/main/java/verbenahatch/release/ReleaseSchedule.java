package verbenahatch.release;

/**
 * Decides when the exposure of a release rises, working back from its deadline.
 *
 * <p>A part of the time before the deadline is kept for the rollback. The stages divide the rest:
 * the small ones get most of it, because there a fault harms few requests. A stage ends when its
 * time is over and it has the evidence it needs; a release that is behind goes through the
 * remaining stages faster, but never below {@link #minStageMillis()}.
 */
final class ReleaseSchedule {

  /** What to do now. */
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

  /** The stage before the first one. */
  static final int NOT_STARTED = -1;

  /**
   * Share of requests at each stage. The last stage keeps a tenth on the old version until the
   * release is done: without it nothing remains to compare with, and a failure of a dependency
   * could not be told from a fault of the new version.
   */
  private static final double[] EXPOSURE = {0.01, 0.05, 0.25, 0.50, 0.90};

  /** End of each stage as a share of the time before the reserve. */
  private static final double[] ENDS = {0.30, 0.55, 0.75, 0.88, 1.0};

  /** Requests that the new version must have answered in each stage. */
  private static final long[] MIN_REQUESTS = {30, 100, 300, 500, 500};

  /** Share of the whole time kept for the rollback. */
  private static final double RESERVE = 0.10;

  private static final long MAX_RESERVE_MILLIS = 300_000;

  /** Share of the time before the reserve that each stage lasts at least. */
  private static final double MIN_STAGE = 0.03;

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
        Math.min(MAX_RESERVE_MILLIS, (long) ((deadlineMillis - startMillis) * RESERVE));
  }

  static double exposure(int stage) {
    return stage < 0 ? 0 : EXPOSURE[Math.min(stage, EXPOSURE.length - 1)];
  }

  /**
   * Decides.
   *
   * @param nowMillis the wall-clock time
   * @param stage the current stage or {@link #NOT_STARTED}
   * @param sinceMillis when the stage was entered, in wall-clock milliseconds
   * @param requests how many requests the new version answered in this stage
   * @return what to do
   */
  Decision decide(long nowMillis, int stage, long sinceMillis, long requests) {
    if (nowMillis < startMillis) {
      return new Decision.Hold();
    }
    boolean started = stage != NOT_STARTED;
    boolean enough = started && requests >= MIN_REQUESTS[stage];
    if (nowMillis >= lastFinishMillis()) {
      return new Decision.RollBack(describeLate(started, enough, stage, requests));
    }
    if (!started) {
      return new Decision.Enter(0);
    }
    boolean due = nowMillis >= endMillis(stage) && nowMillis - sinceMillis >= minStageMillis();
    if (!enough || !due) {
      return new Decision.Hold();
    }
    return stage == EXPOSURE.length - 1 ? new Decision.Finish() : new Decision.Enter(stage + 1);
  }

  private static String describeLate(boolean started, boolean enough, int stage, long requests) {
    if (!started) {
      return "not started before the deadline";
    }
    if (enough) {
      return "not at full exposure in time for the deadline";
    }
    return "thin evidence at the deadline: "
        + requests
        + " of "
        + MIN_REQUESTS[stage]
        + " requests in stage "
        + (stage + 1);
  }

  /** Half of the reserve absorbs delays such as a short outage of the store. */
  private long lastFinishMillis() {
    return deadlineMillis - reserveMillis / 2;
  }

  private long usableMillis() {
    return deadlineMillis - reserveMillis - startMillis;
  }

  private long endMillis(int stage) {
    return startMillis + (long) (usableMillis() * ENDS[stage]);
  }

  /** Returns how long a stage lasts at least, in milliseconds. */
  long minStageMillis() {
    return (long) (usableMillis() * MIN_STAGE);
  }
}
