package verbenahatch.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.Events;
import verbenahatch.kernel.ManualClock;
import verbenahatch.peer.PeerAddress;

class FreshnessTest {

  private static final long MILLI = 1_000_000;
  private final ManualClock clock = new ManualClock();
  private final FleetCore core = new FleetCore(member(0), clock, Events.none(), fact -> {});

  private static Member member(int number) {
    PeerAddress peer = new PeerAddress("127.0.0." + (number + 1), 1);
    return new Member("host" + number, "m" + number, "r", "z", peer, "http://h", false);
  }

  private static MembersRecord record(long epoch, int... numbers) {
    return new MembersRecord(
        epoch, IntStream.of(numbers).mapToObj(FreshnessTest::member).toList(), List.of());
  }

  private void contact(int number, long startNanos, long settledEpoch) {
    var contact = new ContactTable.Contact(startNanos, settledEpoch, settledEpoch, false);
    core.recordContacts(Map.of("m" + number, contact));
  }

  private void advance(long millis) {
    clock.advance(Duration.ofMillis(millis));
  }

  /** Guards against a bound that counts from the arrival of a response, or from too few members. */
  @Test
  void freshnessCountsFromBeforeThePollOfTheMajority() {
    core.adopt(record(1, 0, 1, 2, 3, 4));
    long sentAt = clock.nanoTime();
    advance(900);
    contact(1, sentAt, 1);
    assertFalse(core.isFresh(), "two of five are no majority");
    contact(2, sentAt, 1);
    assertEquals(600 * MILLI, core.remainingFreshnessNanos());
    advance(600);
    assertFalse(core.isFresh());
  }

  /** Guards against old contacts that become a majority when other members are removed. */
  @Test
  void oldContactDoesNotCountAfterTwoEpochs() {
    core.adopt(record(1, 0, 1, 2, 3, 4));
    contact(1, clock.nanoTime(), 1);
    assertFalse(core.isFresh());
    core.adopt(record(2, 0, 1, 2, 3));
    core.adopt(record(3, 0, 1, 2));
    assertFalse(core.isFresh(), "the contact may lack facts of epoch 1");
    advance(1);
    contact(1, clock.nanoTime(), 1);
    assertTrue(core.isFresh(), "a contact after adoption includes them");
  }

  /** Guards against a loss of freshness at every ordinary change of members. */
  @Test
  void freshnessContinuesAfterEpochChange() {
    core.adopt(record(1, 0, 1, 2));
    contact(1, clock.nanoTime(), 1);
    advance(100);
    core.adopt(record(2, 0, 1, 2, 3));
    assertEquals(1_400 * MILLI, core.remainingFreshnessNanos());
    core.adopt(record(3, 1, 2, 3));
    assertFalse(core.isFresh(), "no longer a member");
  }

  /** Guards against a fenced host that stays fresh because its contacts are new. */
  @Test
  void fencedHostIsNeverFresh() {
    core.adopt(record(1, 0));
    assertTrue(core.isFresh());
    core.addFacts(List.of(new Fact.HostFenced("m0")));
    assertFalse(core.isFresh());
  }

  /** Guards against an expiry that is counted from the fence instead of from the removal. */
  @Test
  void incarnationExpiresOnlyAfterItsRemovalAndTheWait() {
    core.adopt(record(1, 0, 1));
    core.addFacts(List.of(new Fact.HostFenced("m1")));
    advance(5_000);
    assertFalse(core.isExpired("m1"));
    core.adopt(core.record().without("m1"));
    advance(1_574);
    assertFalse(core.isExpired("m1"));
    advance(1);
    assertTrue(core.isExpired("m1"));
  }

  /** Guards against a next epoch that is written before a quorum settled the current one. */
  @Test
  void epochIsSettledByMajorityOrByAllThatAreNotReplaced() {
    core.adopt(record(1, 0, 1, 2, 3, 4));
    advance(1);
    contact(1, clock.nanoTime(), 1);
    assertFalse(core.isEpochSettled());
    List<Integer> others = new ArrayList<>(List.of(2, 3, 4));
    others.forEach(n -> core.markReplaced("m" + n, clock.nanoTime()));
    core.refresh();
    assertTrue(core.isEpochSettled());
  }
}
