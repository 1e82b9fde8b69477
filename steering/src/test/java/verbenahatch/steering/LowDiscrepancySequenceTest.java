package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a traffic split that is not met over a few draws. */
class LowDiscrepancySequenceTest {

  @ParameterizedTest
  @CsvSource({"0, 20, 0.5", "7, 50, 0.1", "16000000, 30, 0.9"})
  void meetsFractionOverFewDraws(long start, int draws, double fraction) {
    LowDiscrepancySequence sequence = new LowDiscrepancySequence(start);
    int below = 0;
    for (int i = 0; i < draws; i++) {
      if (sequence.next() < fraction) {
        below++;
      }
    }
    assertEquals(fraction, (double) below / draws, 0.06);
  }
}
