package verbenahatch.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Result;

class SettingsChecksTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  /** Guards against shipped examples that the checks reject. */
  @ParameterizedTest
  @ValueSource(strings = {"ndiaye", "cotopaxi"})
  void acceptsExamples(String customer) throws IOException {
    byte[] text = Files.readAllBytes(EXAMPLES.resolve(customer).resolve("host.json"));
    Result<Settings, List<Fault>> result = SettingsChecks.read(text);
    assertTrue(result.isOk(), result.toString());
  }

  /** Guards against a host that starts with invalid settings. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"port\": 8081 | \"port\": 8080 | callers.port, admin.port, peers.port",
        "\"port\": 8080 | \"port\": 70000 | callers.port",
        "\"address\": \"127.0.0.1\" | \"address\": \"localhost\" | callers.address",
        "replace-this-secret-before-use | short | fleetSecret",
        "\"drainSeconds\": 30 | \"drainSeconds\": 0 | drainSeconds",
        "http://127.0.0.1:9000 | ftp://127.0.0.1 | platform.urls[0]",
        "\"host\": \"dakar-1\" | \"host\": \"\" | host",
      })
  void reportsPathOfFault(String original, String replacement, String path) throws IOException {
    String text = Files.readString(EXAMPLES.resolve("ndiaye").resolve("host.json"));
    assertTrue(text.contains(original), "the example lacks " + original);
    String faulty = text.replaceFirst(java.util.regex.Pattern.quote(original), replacement);
    Result<Settings, List<Fault>> result =
        SettingsChecks.read(faulty.getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of(path), result.error().stream().map(Fault::path).toList());
  }

  /** Guards against the fleet secret appearing in a log line or a state dump. */
  @Test
  void hidesSecret() throws IOException {
    byte[] text = Files.readAllBytes(EXAMPLES.resolve("ndiaye").resolve("host.json"));
    String description = SettingsChecks.read(text).get().toString();
    assertFalse(description.contains("replace-this-secret"), description);
  }
}
