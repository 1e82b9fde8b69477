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

/** Guards against hosts that ask different coordinators for the same workspace. */
class QuotaCoordinatorsTest {

  private final QuotaCoordinators coordinators = new QuotaCoordinators();

  private static List<Member> members(int count, int settledFrom) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("h" + i, "i" + i, "10.0.0." + i + ":7", i >= settledFrom));
    }
    return members;
  }

  @Test
  void hasNoCoordinatorWithoutHosts() {
    coordinators.elect(List.of());
    assertNull(coordinators.coordinator("w"));
  }

  @Test
  void orderOfHostsDoesNotMatter() {
    List<Member> members = members(30, 0);
    coordinators.elect(members);
    QuotaCoordinators other = new QuotaCoordinators();
    Collections.shuffle(members, new Random(1));
    other.elect(members);
    Set<String> distinct = new HashSet<>();
    Map<String, String> addresses = new HashMap<>();
    members.forEach(member -> addresses.put(member.host(), member.address()));
    for (int group = 0; group < QuotaCoordinators.GROUPS; group++) {
      Member coordinator = coordinators.coordinatorOfGroup(group);
      assertEquals(coordinator, other.coordinatorOfGroup(group));
      assertEquals(
          coordinator == null ? null : coordinator.address(),
          QuotaCoordinators.probableAddress(group, 0, addresses));
      distinct.add(String.valueOf(coordinator));
    }
    // Sixteen groups on thirty hosts: a single coordinator would handle all admissions of the
    // region.
    assertNotEquals(1, distinct.size());
  }

  /** A process that has just started doesn't know the window, so it must not be a coordinator. */
  @Test
  void newProcessesAreNoCoordinatorsWhileOthersAreSettled() {
    coordinators.elect(members(10, 8));
    for (int group = 0; group < QuotaCoordinators.GROUPS; group++) {
      Member coordinator = coordinators.coordinatorOfGroup(group);
      assertEquals(true, coordinator != null && coordinator.settled());
    }
  }

  @Test
  void lossOfAnotherHostMovesNoCoordinator() {
    coordinators.elect(members(10, 0));
    Member before = coordinators.coordinator("w");
    List<Member> fewer = members(10, 0);
    fewer.removeIf(member -> !member.equals(before) && member.host().equals("h3"));
    coordinators.elect(fewer);
    assertEquals(before, coordinators.coordinator("w"));
  }
}
