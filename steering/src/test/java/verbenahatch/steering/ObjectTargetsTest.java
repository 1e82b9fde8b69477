package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.kernel.Hashing;

/** Guards against requests for one object that hosts of a large fleet spread over many targets. */
class ObjectTargetsTest {

  private static final long OBJECT = Hashing.of("17");

  private static List<Target> targets(int count) {
    List<Target> targets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      targets.add(new Target(Samples.target("t" + i, "a1", "v1"), "a", 0));
    }
    return targets;
  }

  private static List<Target> withState(ObjectTargets ranked, List<Target> all, CacheState state) {
    return all.stream().filter(target -> ranked.state(target) == state).toList();
  }

  /** What the first target has no room for must go to one further target, not to any. */
  @ParameterizedTest
  @CsvSource({"true, 0", "false, 1"})
  void hostsOfLargeFleetAgreeOnSecondTarget(boolean isSmallFleet, int seconds) {
    List<Target> targets = targets(12);
    ObjectTargets ranked = new ObjectTargets(OBJECT, targets, isSmallFleet, 0);
    assertEquals(1, withState(ranked, targets, CacheState.LIKELY_WARM).size());
    assertEquals(seconds, withState(ranked, targets, CacheState.POSSIBLY_WARM).size());
  }

  /** A target that registers again must keep its objects, although its entry has another id. */
  @Test
  void newEntryOfTargetKeepsItsObjects() {
    List<Target> targets = targets(12);
    Target first =
        withState(new ObjectTargets(OBJECT, targets, true, 0), targets, CacheState.LIKELY_WARM)
            .get(0);
    Target again = new Target(Samples.withId(first.record(), "new-id"), "a", 0);
    targets.set(targets.indexOf(first), again);
    assertEquals(
        List.of(again),
        withState(new ObjectTargets(OBJECT, targets, true, 0), targets, CacheState.LIKELY_WARM));
  }

  /**
   * Replays a burst for one object: its first target has a queue far above the mean load, while the
   * second one has room.
   */
  @ParameterizedTest
  @CsvSource({"2, 0, false", "3, 0, true", "9, 1, true", "9, 9, false"})
  void overloadedTargetIsLeftOnlyWhileTheSecondHasRoom(
      int firstLoad, int secondLoad, boolean isOverloaded) {
    List<Target> targets = targets(12);
    ObjectTargets idle = new ObjectTargets(OBJECT, targets, false, 0);
    Target first = withState(idle, targets, CacheState.LIKELY_WARM).get(0);
    Target second = withState(idle, targets, CacheState.POSSIBLY_WARM).get(0);
    first.inFlight.set(firstLoad);
    second.inFlight.set(secondLoad);
    ObjectTargets ranked = new ObjectTargets(OBJECT, targets, false, 0);
    assertEquals(isOverloaded, ranked.isOverloaded(first));
    assertFalse(ranked.isOverloaded(second) && isOverloaded);
    assertTrue(targets.stream().filter(ranked::isOverloaded).count() <= 1);
  }
}
