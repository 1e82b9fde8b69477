package verbenahatch.measure.entry;

import java.util.List;
import java.util.function.Consumer;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.peer.PeerAddress;

/** Stands in for a fleet with fixed members that are all in contact. */
final class FixedFleet implements Fleet {

  private final Member self;
  private final List<Member> members;

  FixedFleet(String host) {
    this(member(host, 1), List.of(member(host, 1)));
  }

  FixedFleet(Member self, List<Member> members) {
    this.self = self;
    this.members = members;
  }

  static Member member(String host, int port) {
    PeerAddress peer = new PeerAddress("127.0.0.1", port);
    return new Member(host, host + "-1", "r", "z", peer, "http://127.0.0.1", false);
  }

  @Override
  public Member self() {
    return self;
  }

  @Override
  public List<Member> members() {
    return members;
  }

  @Override
  public long membersEpoch() {
    return 1;
  }

  @Override
  public boolean isFresh() {
    return true;
  }

  @Override
  public long remainingFreshnessNanos() {
    return Long.MAX_VALUE;
  }

  @Override
  public boolean isInContact(String incarnation) {
    return true;
  }

  @Override
  public boolean isExpired(String incarnation) {
    return false;
  }

  @Override
  public void onChange(Consumer<List<Member>> listener) {}
}
