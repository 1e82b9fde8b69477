package verbenahatch.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Json;
import verbenahatch.kernel.JsonException;

/**
 * Lists the members of one epoch, as stored in {@code members/fleet}.
 *
 * @param epoch the number of this list; each change increments it and adds or removes at most one
 *     member
 * @param members the members in the order in which they joined
 * @param removed the incarnations removed most recently, newest last, which must use no key and no
 *     shared limit
 */
record MembersRecord(long epoch, List<Member> members, List<String> removed) {

  /** The name of the object in the store. */
  static final String NAME = "members/fleet";

  /** The state before the first epoch is known. */
  static final MembersRecord NONE = new MembersRecord(0, List.of(), List.of());

  /**
   * Largest number of removed incarnations in the record. Sufficient for a restart of every host of
   * the largest fleet, so that a new host still receives the removal of the coordinator of a limit
   * group.
   */
  private static final int MAX_REMOVED = 1_024;

  MembersRecord {
    members = List.copyOf(members);
    removed = List.copyOf(removed);
  }

  static MembersRecord read(byte[] json) throws JsonException {
    return Json.read(json, MembersRecord.class);
  }

  byte[] write() {
    return Json.write(this);
  }

  @Nullable Member find(String incarnation) {
    for (Member member : members) {
      if (member.incarnation().equals(incarnation)) {
        return member;
      }
    }
    return null;
  }

  boolean contains(String incarnation) {
    return find(incarnation) != null;
  }

  /** Returns the member with the peer address of {@code self} and another incarnation, if any. */
  Optional<Member> predecessorOf(Member self) {
    return members.stream()
        .filter(m -> m.peer().equals(self.peer()) && !m.incarnation().equals(self.incarnation()))
        .findFirst();
  }

  int majority() {
    return members.size() / 2 + 1;
  }

  boolean isMajority(Predicate<Member> test) {
    return members.stream().filter(test).count() >= majority();
  }

  /** Returns the next epoch with one member added, or replaced if its incarnation is listed. */
  MembersRecord with(Member added) {
    List<Member> next = new ArrayList<>(members);
    next.removeIf(m -> m.incarnation().equals(added.incarnation()));
    next.add(added);
    return new MembersRecord(epoch + 1, next, removed);
  }

  /** Returns the next epoch without one member. */
  MembersRecord without(String incarnation) {
    List<Member> next = new ArrayList<>(members);
    next.removeIf(m -> m.incarnation().equals(incarnation));
    List<String> nextRemoved = new ArrayList<>(removed);
    nextRemoved.add(incarnation);
    int surplus = Math.max(0, nextRemoved.size() - MAX_REMOVED);
    return new MembersRecord(epoch + 1, next, nextRemoved.subList(surplus, nextRemoved.size()));
  }

  /** Returns the next epoch with the same members. */
  MembersRecord withNextEpoch() {
    return new MembersRecord(epoch + 1, members, removed);
  }
}
