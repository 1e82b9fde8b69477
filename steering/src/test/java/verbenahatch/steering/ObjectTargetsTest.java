package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import verbenahatch.kernel.Hashing;

/** Guards against requests for one object that hosts spread over many targets. */
class ObjectTargetsTest {

  private static final long OBJECT = Hashing.of("17");

  private static List<Target> targets(int count) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(new Target(Samples.target("t" + i, "a1", "v1"), "a", 0));
    }
    return targets;
  }

  private static Target preferred(List<Target> targets) {
    ObjectTargets ranked = new ObjectTargets(OBJECT, targets, 0);
    List<Target> preferred =
        targets.stream().filter(t -> ranked.state(t) == CacheState.LIKELY_WARM).toList();
    assertEquals(1, preferred.size());
    return preferred.get(0);
  }

  /** Hosts must agree on one target, whatever the loads that they know of. */
  @ParameterizedTest
  @ValueSource(ints = {0, 9})
  void oneTargetOfEachRegionIsPreferred(int load) {
    List<Target> targets = targets(12);
    Target first = preferred(targets);
    first.inFlight.set(load);
    assertSame(first, preferred(targets));
  }

  /** A target that registers again must keep its objects, although its entry has another id. */
  @Test
  void newEntryOfTargetKeepsItsObjects() {
    List<Target> targets = targets(12);
    Target first = preferred(targets);
    Target again = new Target(Samples.withId(first.record(), "new-id"), "a", 0);
    targets.set(targets.indexOf(first), again);
    assertSame(again, preferred(targets));
  }
}
