package verbenahatch.steering.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import verbenahatch.steering.quota.QuotaFleet.Member;

/** Guards against hosts that ask different homes for the same workspace. */
class QuotaHomesTest {

  private final QuotaHomes homes = new QuotaHomes();

  private static List<Member> members(int count, int settledFrom) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("h" + i, "i" + i, "10.0.0." + i + ":7", i >= settledFrom));
    }
    return members;
  }

  @Test
  void hasNoHomeWithoutHosts() {
    homes.choose(List.of());
    assertNull(homes.home("w"));
  }

  @Test
  void orderOfHostsDoesNotMatter() {
    List<Member> members = members(30, 0);
    homes.choose(members);
    QuotaHomes other = new QuotaHomes();
    Collections.shuffle(members, new Random(1));
    other.choose(members);
    Set<String> used = new HashSet<>();
    Map<String, String> addresses = new HashMap<>();
    members.forEach(member -> addresses.put(member.host(), member.address()));
    for (int group = 0; group < QuotaHomes.GROUPS; group++) {
      Member home = homes.homeOfGroup(group);
      assertEquals(home, other.homeOfGroup(group));
      assertEquals(home == null ? null : home.address(), QuotaHomes.guess(group, addresses));
      used.add(String.valueOf(home));
    }
    // Sixteen groups on thirty hosts: a single home would bear all admissions of the region.
    assertNotEquals(1, used.size());
  }

  /** A process that has just started knows nothing of the window, so it is no home yet. */
  @Test
  void newProcessesAreNoHomesWhileOthersAreSettled() {
    homes.choose(members(10, 8));
    for (int group = 0; group < QuotaHomes.GROUPS; group++) {
      Member home = homes.homeOfGroup(group);
      assertEquals(true, home != null && home.settled());
    }
  }

  @Test
  void lossOfAnotherHostMovesNoHome() {
    homes.choose(members(10, 0));
    Member before = homes.home("w");
    List<Member> fewer = members(10, 0);
    fewer.removeIf(member -> !member.equals(before) && member.host().equals("h3"));
    homes.choose(fewer);
    assertEquals(before, homes.home("w"));
  }
}
