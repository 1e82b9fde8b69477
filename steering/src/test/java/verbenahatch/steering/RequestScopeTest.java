package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;

class RequestScopeTest {

  private static final RoutePart PART = new RoutePart("catalogue", 1);
  private static final SteeringRoute ROUTE = Samples.route("a", "/a/", true, PART);

  private static DocumentIndex document(long version, SteeringRoute... routes) {
    return new DocumentIndex(Samples.document(version, routes));
  }

  private static RequestScope scope(@Nullable String host, @Nullable String path, String key) {
    return new RequestScope(host, path, key, document(1, ROUTE));
  }

  // Guards against a request without an address that fails in place of being refused.
  @ParameterizedTest
  @CsvSource({
    "h.example, /a/x, true, true",
    "H.Example, /a/x, true, true",
    "h.example, /b/x, true, false",
    ", /a/x, false, false",
    "h.example, , false, false"
  })
  void matchesRequestsWithHostAndPath(
      @Nullable String host, @Nullable String path, boolean hasAddress, boolean matches) {
    RequestScope scope = scope(host, path, "key");
    assertEquals(hasAddress, scope.hasAddress());
    assertEquals(matches, scope.match());
    assertEquals(matches ? "a" : "-", scope.routeName());
  }

  // Guards against a request that goes on by a document in which its route or key is withdrawn.
  @ParameterizedTest
  @CsvSource({"/a/, key, ''", "/b/, key, NO_ROUTE", "/a/, withdrawn, BAD_KEY"})
  void newerDocumentAppliesToWaitingRequest(String prefix, String key, String refusal) {
    RequestScope scope = scope("h.example", "/a/x", key);
    scope.match();
    RefusalReason reason = scope.refresh(document(2, Samples.route("a2", prefix, false, PART)));
    assertEquals(refusal, reason == null ? "" : reason.name());
    assertEquals(reason == null ? 2 : 1, scope.documentVersion());
    assertEquals(reason == null ? "a2" : "a", scope.routeName());
    assertEquals(reason == null ? "w" : "-", scope.workspaceName());
  }

  // Guards against a request that loses its route while the host has no document.
  @Test
  void keepsDocumentIfThereIsNoOther() {
    RequestScope scope = scope("h.example", "/a/x", "key");
    scope.match();
    assertNull(scope.refresh(null));
    assertEquals("a", scope.routeName());
  }

  // Guards against a null route or document on the path of a request that was not refused.
  @Test
  void failsWithoutDocumentOrRoute() {
    RequestScope scope = new RequestScope("h.example", "/a/x", "key", null);
    assertThrows(IllegalStateException.class, scope::match);
    assertThrows(IllegalStateException.class, scope::route);
    assertEquals(0, scope.documentVersion());
  }
}
