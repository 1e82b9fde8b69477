package verbenahatch.release;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReleaseScheduleTest {

  /** 100 s from start to deadline: 90 s for the stages, 10 s reserved for the rollback. */
  private final ReleaseSchedule schedule = new ReleaseSchedule(0, 100_000);

  /** Guards against stages that are entered early, without evidence, or too late to roll back. */
  @ParameterizedTest
  @CsvSource({
    "-1, -1, 0, 0, Hold[]",
    "0, -1, 0, 0, Enter[stage=0]",
    "26000, 0, 0, 1000, Hold[]",
    "27000, 0, 0, 29, Hold[]",
    "27000, 0, 0, 30, Enter[stage=1]",
    "60000, 1, 59000, 1000, Hold[]",
    "62000, 1, 59000, 1000, Enter[stage=2]",
    "89000, 4, 80000, 1000, Hold[]",
    "90000, 4, 80000, 1000, Finish[]",
    "94000, 4, 93000, 1000, Hold[]",
    "95000, 3, 80000, 1000, RollBack[reason=not at full exposure in time for the deadline]",
    "95000, -1, 0, 0, RollBack[reason=not started before the deadline]"
  })
  void decides(long nowMillis, int stage, long sinceMillis, long requests, String expected) {
    assertEquals(expected, schedule.decide(nowMillis, stage, sinceMillis, requests).toString());
  }

  /** Guards against a version that stays exposed at the deadline with insufficient evidence. */
  @Test
  void rollsBackOnInsufficientEvidence() {
    ReleaseSchedule.Decision decision = schedule.decide(95_000, 1, 30_000, 99);
    ReleaseSchedule.Decision.RollBack rollBack =
        assertInstanceOf(ReleaseSchedule.Decision.RollBack.class, decision);
    assertEquals("thin evidence at the deadline: 99 of 100 requests in stage 2", rollBack.reason());
  }
}
