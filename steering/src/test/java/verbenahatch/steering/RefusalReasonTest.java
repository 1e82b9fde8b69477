package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against refusals that wrongly guarantee "not run" and against undocumented refusals. */
class RefusalReasonTest {

  @Test
  void documentationListsExactlyTheRefusals() throws IOException {
    List<String> expected = new ArrayList<>();
    for (RefusalReason reason : RefusalReason.values()) {
      expected.add("| " + reason.name() + " | " + reason.status() + " |");
    }
    List<String> listed = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("..", "docs", "refusals-platform.md"))) {
      if (line.startsWith("| ") && !line.startsWith("| name")) {
        String[] cells = line.split(" \\| ", -1);
        listed.add(cells[0] + " | " + cells[1] + " |");
      }
    }
    assertEquals(expected, listed);
  }

  @ParameterizedTest
  @EnumSource(
      value = RefusalReason.class,
      names = {"TIMED_OUT", "TARGET_FAILED", "INTERNAL"})
  void refusalAfterPossibleRunGuaranteesNothing(RefusalReason reason) {
    assertEquals(false, reason.guaranteesNotRun());
  }
}
