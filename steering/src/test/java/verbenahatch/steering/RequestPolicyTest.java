package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/** Guards against requests outside their allowed regions and callers that retry too late. */
class RequestPolicyTest {

  private static Set<String> regionSet(String names) {
    return names.isEmpty() ? Set.of() : Set.of(names.split(" "));
  }

  /** If route and workspace both restrict the regions, both restrictions apply. */
  @ParameterizedTest
  @CsvSource({"'', '', ''", "a, '', a", "'', b, b", "a b, b c, b"})
  void restrictionsOfRouteAndWorkspaceBothApply(String route, String workspace, String expected) {
    assertEquals(regionSet(expected), allowedRegions(route, workspace));
  }

  @ParameterizedTest
  @CsvSource({"a, b", "a b, c"})
  void restrictionsWithoutCommonRegionAllowNone(String route, String workspace) {
    Set<String> regions = allowedRegions(route, workspace);
    assertTrue(!regions.isEmpty() && !regions.contains("a") && !regions.contains("b"));
  }

  private static Set<String> allowedRegions(String route, String workspace) {
    SteeringRoute base = Samples.route("r", "/r/", true, new RoutePart("s", 1));
    SteeringRoute restricted =
        new SteeringRoute(
            "r", "h", "/r/", base.parts(), true, 800, 300, 1, 2, false, regionSet(route));
    return RequestPolicy.allowedRegions(
        restricted, new SteeringWorkspace("w", Set.of(), -1, 0, 0, regionSet(workspace)));
  }

  @ParameterizedTest
  @CsvSource({"3000, 0.25", "600, 0.18", "0, 0.00", "-5, 0.00"})
  void callerRetriesWithinFirstThirdOfRemainingTime(double remainingMillis, String seconds) {
    assertEquals(seconds, RequestPolicy.retryAfterSeconds(remainingMillis, 0));
  }
}
