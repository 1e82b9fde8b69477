package verbenahatch.limits;

import java.util.List;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Link;
import verbenahatch.model.EnvironmentDocument.Region;
import verbenahatch.model.EnvironmentDocument.Workspace;

/** Creates documents with one workspace, one region and one link. */
final class TestDocuments {

  private TestDocuments() {}

  static EnvironmentDocument document(long generation, double rate, double burst, int capacity) {
    return new EnvironmentDocument(
        "trial",
        generation,
        List.of(new Region("r0", List.of("r0a"), capacity)),
        List.of(new Link("r0", "r1", 280, 35)),
        List.of(),
        List.of(),
        List.of(new Workspace("north", rate, burst, 1)),
        List.of(),
        List.of());
  }
}
