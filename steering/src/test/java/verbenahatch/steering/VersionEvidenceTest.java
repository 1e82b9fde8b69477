package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against slow versions whose attempts are aborted before they respond. */
class VersionEvidenceTest {

  /** Cold time 600 ms: responses above 1,500 ms count as slow, unless their target is cold. */
  @ParameterizedTest
  @CsvSource({
    "false, 1500, false, GOOD",
    "false, 1501, false, BAD",
    "false, 1501, true, GOOD",
    "true, 10, false, BAD",
    "true, 10, true, BAD"
  })
  void responseCountsByStatusAndTime(
      boolean failed, double millis, boolean coldTarget, VersionEvidence expected) {
    assertEquals(expected, VersionEvidence.ofResponse(failed, millis, 600, coldTarget));
  }

  /**
   * Aborted attempts did not count at all: of the attempts of a version that took eight times as
   * long for half of its requests, 317 were aborted and 13 counted as bad.
   */
  @ParameterizedTest
  @CsvSource({
    "200, 599, false, NONE",
    "200, 600, false, BAD",
    "200, 864, false, BAD",
    "200, 864, true, NONE",
    "10, 499, false, NONE",
    "10, 500, false, BAD",
    "640, 1900, false, NONE",
    "640, 2606, false, BAD"
  })
  void abortedAttemptCountsOnceItIsOverdue(
      double expectedMillis, double millis, boolean coldTarget, VersionEvidence expected) {
    assertEquals(expected, VersionEvidence.ofAborted(millis, expectedMillis, coldTarget));
  }
}
