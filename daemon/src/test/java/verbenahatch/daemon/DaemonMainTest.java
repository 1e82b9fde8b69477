package verbenahatch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class DaemonMainTest {

  /** Guards against a settings check that refuses the shipped examples. */
  @ParameterizedTest
  @ValueSource(strings = {"ndiaye", "cotopaxi"})
  void acceptsExamples(String customer) {
    Path file = Path.of("..", "examples", customer, "host.json");
    assertEquals(0, DaemonMain.execute("--check-settings", file.toString()));
  }

  /** Guards against faulty settings for which the exit code reports success. */
  @ParameterizedTest
  @CsvSource({"--check-settings", "--settings"})
  void refusesFaultySettings(String option, @TempDir Path directory) throws Exception {
    Path file = directory.resolve("host.json");
    Files.writeString(file, "{\"host\": \"\"}");
    assertEquals(2, DaemonMain.execute(option, file.toString()));
    assertEquals(2, DaemonMain.execute(option, directory.resolve("missing.json").toString()));
  }

  /** Guards against a process that starts without settings. */
  @Test
  void refusesEmptyCommandLine() {
    assertEquals(2, DaemonMain.execute());
    assertEquals(2, DaemonMain.execute("--unknown"));
  }
}
