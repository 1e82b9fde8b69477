package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against inherited admissions that leave the window too early, or stay far too long. */
class AdmissionHistoryTest {

  private static final long WINDOW_MILLIS = 5_000;

  private static long nanos(long millis) {
    return millis * 1_000_000;
  }

  /** A burst right before the coordinator is lost stays for the whole window. */
  @ParameterizedTest
  @ValueSource(ints = {1, 40, 1_000})
  void burstStaysForTheWindow(int requests) {
    AdmissionHistory history = new AdmissionHistory(WINDOW_MILLIS, 0);
    history.update(0, 0, nanos(9_500));
    history.update(requests, requests, nanos(10_000));
    assertEquals(requests, history.remaining(nanos(15_000)), 1e-9);
    assertEquals(0, history.remaining(nanos(15_001)), 1e-9);
  }

  /** Admissions at an even pace leave at that pace, and the report of half an hour ago is gone. */
  @ParameterizedTest
  @ValueSource(ints = {10, 500})
  void evenAdmissionsLeaveEvenly(int admitted) {
    AdmissionHistory history = new AdmissionHistory(WINDOW_MILLIS, 0);
    for (long millis = 500; millis <= 20_000; millis += 500) {
      history.update(admitted, admitted / 5.0, nanos(millis));
    }
    double half = history.remaining(nanos(22_600));
    assertTrue(half >= 0.5 * admitted - 1e-9 && half <= 0.65 * admitted, "remaining " + half);
    assertEquals(0, history.remaining(nanos(1_800_000)), 1e-9);
  }
}
