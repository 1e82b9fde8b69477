package verbenahatch.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import verbenahatch.routing.HostAdvice.Candidate;

/** Guards against callers that are advised to hosts which cannot carry them. */
class HostAdviceTest {

  private static List<Candidate> fleet(int large, int small, double smallCores, double smallMbps) {
    List<Candidate> hosts = new ArrayList<>();
    for (int i = 0; i < large; i++) {
      hosts.add(new Candidate("large" + i, 1.5, 200));
    }
    for (int i = 0; i < small; i++) {
      hosts.add(new Candidate("small" + i, smallCores, smallMbps));
    }
    return hosts;
  }

  /**
   * Replays callers that each pick one of the advised hosts at random. With equal advice the small
   * hosts got 0.83 of them, of which they can carry a tenth, while the large ones were idle.
   */
  @ParameterizedTest
  @CsvSource({
    "4, 19, 0.3, 10, 1",
    "4, 32, 0.21, 10, 2",
    "2, 10, 0.75, 100, 3",
    "1, 30, 0.3, 200, 4"
  })
  void smallHostsGetTheirPartOfCallers(
      int large, int small, double smallCores, double smallMbps, long seed) {
    Random random = new Random(seed);
    List<Candidate> fleet = fleet(large, small, smallCores, smallMbps);
    double fraction = Math.min(smallCores / 1.5, smallMbps / 200);
    int toSmall = 0;
    int callers = 20_000;
    for (int i = 0; i < callers; i++) {
      List<String> advised = HostAdvice.select(fleet, random::nextDouble);
      toSmall += advised.get(random.nextInt(advised.size())).startsWith("small") ? 1 : 0;
    }
    double part = small * fraction / (small * fraction + large);
    // With a single large host the two further ones that are always advised are small.
    double allowed = large == 1 ? 0.9 : part + 0.05;
    assertTrue(toSmall <= callers * allowed, toSmall + " of " + callers + " to small hosts");
  }

  /** A fleet of equal machines, or of unknown ones, must be advised as a whole. */
  @ParameterizedTest
  @CsvSource({"0.6, 1000", "0, 0", "-1, 5"})
  void equalHostsAreAllAdvised(double cores, double mbps) {
    List<Candidate> hosts = new ArrayList<>();
    for (int i = 0; i < 9; i++) {
      hosts.add(new Candidate("h" + i, cores, mbps));
    }
    assertEquals(9, HostAdvice.select(hosts, new Random(1)::nextDouble).size());
  }

  /** When the large machines are lost, callers must get the small ones at once. */
  @Test
  void smallHostsAreAdvisedWhenTheLargeOnesAreGone() {
    assertEquals(19, HostAdvice.select(fleet(0, 19, 0.3, 10), new Random(1)::nextDouble).size());
    assertEquals(List.of(), HostAdvice.select(List.of(), new Random(1)::nextDouble));
  }

  /** A caller whose only advised host fails would have none left until its next look-up. */
  @Test
  void severalHostsAreAdvisedBesideOneLarge() {
    Random random = new Random(1);
    for (int i = 0; i < 1_000; i++) {
      Set<String> advised =
          new TreeSet<>(HostAdvice.select(fleet(1, 30, 0.01, 1), random::nextDouble));
      assertTrue(advised.size() >= HostAdvice.MIN_HOSTS && advised.contains("large0"));
    }
  }
}
