package verbenahatch.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FigureTest {

  /** Guards against a figure that misses its target and yet prints ok. */
  @ParameterizedTest
  @CsvSource({"1, 2, ok, short", "2, 2, ok, ok", "3, 2, short, ok", "NaN, 2, short, short"})
  void comparesWithBound(double value, double bound, String atMost, String atLeast) {
    assertEquals(atMost, lastWord(Figure.atMost("f", value, "ms", bound)));
    assertEquals(atLeast, lastWord(Figure.atLeast("f", value, "ms", bound)));
  }

  /** Guards against a line whose form other programs cannot read. */
  @Test
  void formatsLine() {
    assertEquals(
        "measure: latency 1.500 ms target <= 2 ok", Figure.atMost("latency", 1.5, "ms", 2).line());
    assertEquals("measure: slope 3 bytes target - - ok", Figure.info("slope", 3, "bytes").line());
  }

  private static String lastWord(Figure figure) {
    String line = figure.line();
    return line.substring(line.lastIndexOf(' ') + 1);
  }
}
