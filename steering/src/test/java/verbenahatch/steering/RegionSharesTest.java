package verbenahatch.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against sudden moves between regions, as casa-abierta quiet-1 showed. */
class RegionSharesTest {

  private static final double MAX_SHIFT = 0.15;
  private static final Set<String> BOTH = Set.of("a", "b");
  private static final long SECOND = 1_000_000_000L;

  private static RegionShares settled(int perSecond) {
    RegionShares shares = new RegionShares(MAX_SHIFT);
    shares.start(Map.of("a", 1.0), 0);
    for (int i = 0; i < 5 * perSecond; i++) {
      shares.next("a", BOTH, false, i * SECOND / perSecond);
    }
    return shares;
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 20, 100, 500})
  void votesForAnotherRegionShiftNoMoreThanAllowedInTwoSeconds(int perSecond) {
    RegionShares shares = settled(perSecond);
    double before = shares.share("b");
    for (int i = 0; i < 2 * perSecond; i++) {
      shares.next("b", BOTH, false, 5 * SECOND + i * SECOND / perSecond);
    }
    assertTrue(shares.share("b") - before <= MAX_SHIFT);
    assertEquals(1.0, shares.share("a") + shares.share("b"), 1e-9);
  }

  /** The first seconds count too: casa-abierta broke the bound at 2 s of a day. */
  @Test
  void firstSecondsArePacedToo() {
    RegionShares shares = new RegionShares(MAX_SHIFT);
    shares.start(Map.of("a", 1.0), 0);
    for (int i = 0; i < 100; i++) {
      shares.next("b", BOTH, false, i * SECOND / 50);
    }
    assertTrue(shares.share("b") <= MAX_SHIFT);
  }

  /** A request must run somewhere when the regions with a share cannot take it. */
  @Test
  void drawsOnlyUsableRegions() {
    RegionShares shares = settled(50);
    String drawn = shares.next("b", Set.of("b"), true, 6 * SECOND);
    assertTrue(drawn == null || drawn.equals("b"));
  }

  /** After a loss the shares must follow faster than in calm times. */
  @Test
  void lossLetsSharesFollowFaster() {
    RegionShares calm = settled(50);
    RegionShares lost = settled(50);
    for (int i = 0; i < 50; i++) {
      long now = 5 * SECOND + i * SECOND / 50;
      calm.next("b", BOTH, false, now);
      lost.next("b", BOTH, true, now);
    }
    assertTrue(lost.share("b") > 2 * calm.share("b"));
  }
}
