package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;

/** Guards against wrong routes and against splits that deviate from their weights. */
class DocumentIndexTest {

  private static final RoutePart PART = new RoutePart("catalogue", 1);

  @ParameterizedTest
  @CsvSource({"/a/x, short", "/a/b/x, long", "/c/x, ''", "/a, ''"})
  void picksLongestPrefix(String path, String expected) {
    DocumentIndex index =
        new DocumentIndex(
            Samples.document(
                1,
                Samples.route("short", "/a/", true, PART),
                Samples.route("long", "/a/b/", true, PART)));
    SteeringRoute route = index.route("h.example", path);
    assertEquals(expected, route == null ? "" : route.name());
  }

  @Test
  void findsWorkspaceByKeyOnly() {
    DocumentIndex index = new DocumentIndex(Samples.document(1));
    assertNotNull(index.workspace("key"));
    assertNull(index.workspace("other"));
  }

  @ParameterizedTest
  @CsvSource({"90, 10, 40", "1, 1, 20", "70, 30, 100"})
  void splitKeepsWeightsOverFewRequests(double first, double second, int requests) {
    SteeringRoute route =
        Samples.route("r", "/a/", true, new RoutePart("x", first), new RoutePart("y", second));
    DocumentIndex index = new DocumentIndex(Samples.document(1, route));
    int count = 0;
    for (int i = 0; i < requests; i++) {
      // A look at the next service must not draw it.
      String peeked = index.peekService(route);
      assertEquals(peeked, index.peekService(route));
      String drawn = index.nextService(route);
      assertEquals(peeked, drawn);
      if (drawn.equals("x")) {
        count++;
      }
    }
    assertEquals(first / (first + second), (double) count / requests, 0.1);
  }
}
