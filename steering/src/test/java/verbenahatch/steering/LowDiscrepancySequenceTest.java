package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against shares that are missed over few draws. */
class LowDiscrepancySequenceTest {

  @ParameterizedTest
  @CsvSource({"0, 20, 0.5", "7, 50, 0.1", "16000000, 30, 0.9"})
  void keepsShareOverFewDraws(long start, int draws, double share) {
    LowDiscrepancySequence sequence = new LowDiscrepancySequence(start);
    int below = 0;
    for (int i = 0; i < draws; i++) {
      if (sequence.next() < share) {
        below++;
      }
    }
    assertEquals(share, (double) below / draws, 0.06);
  }
}
