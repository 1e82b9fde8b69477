package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.steering.model.SteeringDocument.RoutePart;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;

/** Guards against requests that run outside their homes and callers that come back too late. */
class RequestPolicyTest {

  private static Set<String> set(String names) {
    return names.isEmpty() ? Set.of() : Set.of(names.split(" "));
  }

  /** Where route and workspace both have homes, both bind. */
  @ParameterizedTest
  @CsvSource({"'', '', ''", "a, '', a", "'', b, b", "a b, b c, b"})
  void homesOfRouteAndWorkspaceBothBind(String route, String workspace, String expected) {
    assertEquals(set(expected), homes(route, workspace));
  }

  @ParameterizedTest
  @CsvSource({"a, b", "a b, c"})
  void homesWithoutCommonRegionAllowNone(String route, String workspace) {
    Set<String> homes = homes(route, workspace);
    assertTrue(!homes.isEmpty() && !homes.contains("a") && !homes.contains("b"));
  }

  private static Set<String> homes(String route, String workspace) {
    SteeringRoute base = Samples.route("r", "/r/", true, new RoutePart("s", 1));
    SteeringRoute homed =
        new SteeringRoute("r", "h", "/r/", base.parts(), true, 800, 300, 1, 2, false, set(route));
    return RequestPolicy.homes(
        homed, new SteeringWorkspace("w", Set.of(), -1, 0, 0, set(workspace)));
  }

  @ParameterizedTest
  @CsvSource({"3000, 0.25", "600, 0.18", "0, 0.00", "-5, 0.00"})
  void callerComesBackInsideTheFirstThirdOfItsTime(double remaining, String seconds) {
    assertEquals(seconds, RequestPolicy.retryAfterSeconds(remaining));
  }
}
