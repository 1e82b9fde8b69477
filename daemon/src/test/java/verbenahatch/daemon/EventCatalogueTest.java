package verbenahatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.EventCode;

class EventCatalogueTest {

  /** Guards against two events with the same number, which would make a log ambiguous. */
  @Test
  void numbersAreUnique() throws Exception {
    Set<Integer> numbers = new HashSet<>();
    for (EventCode code : EventCatalogue.all()) {
      assertTrue(numbers.add(code.number()), "used twice: " + code.number());
    }
    assertTrue(numbers.size() > 4, "found only " + numbers);
  }

  /** Guards against a catalogue that differs from the code; a failure prints the expected rows. */
  @Test
  void catalogueMatchesCode() throws Exception {
    StringBuilder expected = new StringBuilder();
    for (EventCode code : EventCatalogue.all()) {
      expected.append(row(code)).append('\n');
    }
    List<String> lines = Files.readAllLines(Path.of("..", "docs", "events.md"));
    StringBuilder actual = new StringBuilder();
    for (String line : lines) {
      if (line.startsWith("| VH-")) {
        actual.append(line, 0, line.lastIndexOf(" | ")).append(" |\n");
      }
    }
    assertEquals(expected.toString(), actual.toString());
  }

  private static String row(EventCode code) {
    return "| VH-" + code.number() + " | " + code.level() + " | `" + code.template() + "` |";
  }
}
