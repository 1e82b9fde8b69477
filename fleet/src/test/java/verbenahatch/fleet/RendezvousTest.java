package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Hashing;
import verbenahatch.peer.PeerAddress;

/** Guards against hosts of two versions that assign a role to different members. */
class RendezvousTest {

  private static long previousHash(String role, Member member) {
    long hash = Hashing.mix(role.hashCode());
    for (char character : member.incarnation().toCharArray()) {
      hash = Hashing.mix(hash ^ character);
    }
    return hash;
  }

  @Test
  void rolesStayWhereEarlierVersionsAssignThem() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 66; i++) {
      PeerAddress peer = new PeerAddress("127.0.0.1", 1 + i);
      members.add(new Member("host" + i, "incarnation " + i, "r", "z", peer, "", false));
    }
    for (int i = 0; i < 1_000; i++) {
      String role = "aggregator/" + i;
      List<Member> expected = new ArrayList<>(members);
      expected.sort(Comparator.comparingLong(member -> previousHash(role, member)));
      assertEquals(expected, Rendezvous.first(role, members, 100));
      assertEquals(expected.subList(0, 2), Rendezvous.first(role, members, 2));
      assertEquals(Optional.of(expected.get(0)), Rendezvous.first(role, members));
    }
    assertEquals(Optional.empty(), Rendezvous.first("aggregator/0", List.of()));
  }
}
