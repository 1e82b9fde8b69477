package verbenahatch.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Result;

class DocumentChecksTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  /** Guards against shipped examples that the checks reject. */
  @ParameterizedTest
  @ValueSource(strings = {"ndiaye", "cotopaxi"})
  void acceptsExamples(String customer) throws IOException {
    byte[] text = Files.readAllBytes(EXAMPLES.resolve(customer).resolve("production.json"));
    Result<EnvironmentDocument, List<Fault>> result = DocumentChecks.read(text);
    assertTrue(result.isOk(), result.toString());
    assertEquals(3, result.get().regions().size());
    assertEquals(8, result.get().workspaces().size());
  }

  /**
   * Guards against an invalid document that is accepted, or rejected without the path of the fault.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"burst\": 240 | \"burst\": 0.5 | workspaces[0].burst",
        "\"ratePerSecond\": 120 | \"ratePerSecond\": -1 | workspaces[0].ratePerSecond",
        "\"generation\": 1 | \"generation\": 0 | generation",
        "\"to\": \"thies\" | \"to\": \"nowhere\" | links[0].to",
        "\"to\": \"thies\" | \"to\": \"dakar\" | links[0]",
        "\"service\": \"catalogue\" | \"service\": \"missing\" | routes[0].service",
        "\"id\": \"catalogue-2\" | \"id\": \"catalogue-1\" | services[0].targets[1].id",
        "\"slots\": 3 | \"slots\": 0 | services[0].targets[0].slots",
        "\"pathPrefix\": \"/catalogue\" | \"pathPrefix\": \"/v1/x\" | routes[0].pathPrefix",
        "\"address\": \"127.0.0.1\" | \"address\": \"host\" | services[0].targets[0].address",
        "\"block\": \"10.1.0.0/16\" | \"block\": \"10.1.0.0/64\" | clients[0].block",
        "\"capacity\": 42 | \"capacity\": 4200 | regions[1].capacity",
        "\"version\": \"v1\" | \"version\": \"v9\" | services[0].version",
        "\"generation\": 1 | \"generation\": 1, \"generation\": 2 | $",
        "\"generation\": 1 | \"generatoin\": 1 | $",
      })
  void reportsPathOfFault(String original, String replacement, String path) throws IOException {
    String text = Files.readString(EXAMPLES.resolve("ndiaye").resolve("production.json"));
    assertTrue(text.contains(original), "the example lacks " + original);
    String faulty =
        text.substring(0, text.indexOf(original))
            + replacement
            + text.substring(text.indexOf(original) + original.length());
    Result<EnvironmentDocument, List<Fault>> result =
        DocumentChecks.read(faulty.getBytes(StandardCharsets.UTF_8));
    List<String> paths = result.error().stream().map(Fault::path).toList();
    assertTrue(paths.contains(path), paths.toString());
  }

  /** Guards against faults that are not reported because an earlier one ends the check. */
  @ParameterizedTest
  @ValueSource(strings = {"{}", "{\"regions\": [{}], \"services\": [{\"targets\": [{}]}]}"})
  void reportsFaultsOfIncompleteDocuments(String text) {
    Result<EnvironmentDocument, List<Fault>> result =
        DocumentChecks.read(text.getBytes(StandardCharsets.UTF_8));
    assertTrue(result.error().size() >= 3, result.toString());
  }
}
