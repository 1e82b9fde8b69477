package verbenahatch.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a documented list of refusals that differs from the code. */
class RefusalTest {

  @Test
  void documentationListsEveryRefusalAndNoOther() throws IOException {
    List<String> expected = new ArrayList<>();
    for (Refusal refusal : Refusal.values()) {
      expected.add(
          String.format(
              "| %s | %d | %s | %s |",
              refusal.code(), refusal.status(), refusal.outcome().text(), refusal.message()));
    }
    List<String> listed = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("..", "docs", "refusals.md"))) {
      if (line.startsWith("| ") && !line.startsWith("| code")) {
        listed.add(line.substring(0, line.indexOf('|', line.lastIndexOf(". | ")) + 1));
      }
    }
    assertEquals(expected, listed);
  }
}
