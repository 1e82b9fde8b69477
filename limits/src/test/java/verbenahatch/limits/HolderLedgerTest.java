package verbenahatch.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import verbenahatch.kernel.ManualClock;
import verbenahatch.limits.testing.LimitSimulation;
import verbenahatch.peer.generated.GrantLine;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;

class HolderLedgerTest {

  private static final String NORTH = LimitSpec.ofWorkspace("north");
  private static final int GROUP = LimitSpec.groupOf(NORTH);
  private static final Share GRANTED = new Share(0, 10, 5);

  private final ManualClock clock = new ManualClock();
  private final LimitSpec spec = new LimitSpec(NORTH, LimitKind.REQUESTS, 100, 100);
  private final HeldLimit held = new HeldLimit(spec, clock, lease());
  private final HolderLedger holder = new HolderLedger(GROUP, clock, () -> List.of(held), () -> 2);
  private final CoordinatorLedger coordinator =
      new CoordinatorLedger(1, "coordinator", Map.of(NORTH, spec), clock.nanoTime());

  private static HostLease lease() {
    LimitSimulation simulation =
        new LimitSimulation(1, 1, 1, TestDocuments.document(1, 1, 1, 1), Duration.ofMillis(10));
    return new HostLease(simulation.hosts().get(0));
  }

  private ShareExchange nextExchange() {
    return Objects.requireNonNull(holder.nextExchange());
  }

  private static ShareGrant grant(long epoch, long sequence) {
    return ShareGrant.newBuilder()
        .setOutcome(ShareGrant.Outcome.GRANTED)
        .setEpoch(epoch)
        .setSequence(sequence)
        .addLines(GrantLine.newBuilder().setLimit(NORTH).setGranted(GRANTED.toMessage()))
        .build();
  }

  private Share share() {
    return held.bucket().share(clock.nanoTime());
  }

  /** Guards against a grant that is applied twice because it was delivered twice. */
  @Test
  void duplicateOrMismatchedGrantIsIgnored() {
    assertTrue(holder.adopt(1, "coordinator"));
    assertEquals(1, nextExchange().getSequence());
    assertFalse(holder.applyGrant(grant(1, 2)));
    assertTrue(holder.applyGrant(grant(1, 1)));
    assertFalse(holder.applyGrant(grant(1, 1)));
    clock.advance(Duration.ofSeconds(3));
    assertEquals(2, nextExchange().getSequence());
    assertFalse(holder.applyGrant(grant(1, 1)));
    assertEquals(GRANTED, share());
  }

  /**
   * Guards against a late grant in an epoch whose shares were already reported for the next epoch.
   */
  @Test
  void closedEpochTransfersNothing() {
    assertTrue(holder.adopt(1, "coordinator"));
    nextExchange();
    assertTrue(holder.close(1).getClosed());
    assertFalse(holder.applyGrant(grant(1, 1)));
    assertNull(holder.nextExchange());
    assertFalse(holder.adopt(1, "coordinator"));
    assertTrue(share().isEmpty());
    assertTrue(holder.adopt(2, "other"));
    assertFalse(holder.close(1).getClosed());
  }

  /**
   * Guards against a retransmission with different content, and a returned share that stays usable.
   */
  @Test
  void openExchangeIsRetransmittedUnchanged() {
    assertTrue(holder.adopt(1, "coordinator"));
    nextExchange();
    assertTrue(holder.applyGrant(grant(1, 1)));
    GrantLine keepNothing =
        GrantLine.newBuilder().setLimit(NORTH).setKeep(Share.NONE.toMessage()).build();
    holder.recordRecall(1, List.of(keepNothing));
    ShareExchange sent = nextExchange();
    assertEquals(GRANTED, Share.of(sent.getLines(0).getReturned()));
    assertTrue(share().isEmpty());
    assertNull(holder.nextExchange());
    holder.exchangeFailed(sent);
    clock.advance(Duration.ofSeconds(1));
    assertSame(sent, nextExchange());
  }

  /** Guards against a coordinator that applies a retransmitted exchange twice. */
  @Test
  void coordinatorAnswersRetransmissionWithStoredGrant() {
    coordinator.updateMembers(Map.of("h", true), clock.nanoTime());
    coordinator.activate();
    assertTrue(holder.adopt(1, "coordinator"));
    ShareExchange first = nextExchange();
    ShareGrant firstGrant = coordinator.exchange("h", first, clock.nanoTime());
    assertSame(firstGrant, coordinator.exchange("h", first, clock.nanoTime()));
    assertEquals(new Share(100, 100, 0), account().outstanding());
    ShareExchange skipped = first.toBuilder().setSequence(3).build();
    assertEquals(
        ShareGrant.Outcome.REFUSED,
        coordinator.exchange("h", skipped, clock.nanoTime()).getOutcome());
  }

  /** Guards against a lowered total after which holders keep their shares. */
  @Test
  void loweredTotalIsRecalled() {
    coordinator.updateMembers(Map.of("h", true), clock.nanoTime());
    coordinator.activate();
    assertTrue(holder.adopt(1, "coordinator"));
    assertTrue(holder.applyGrant(coordinator.exchange("h", nextExchange(), clock.nanoTime())));
    LimitSpec lower = new LimitSpec(NORTH, LimitKind.REQUESTS, 40, 40);
    coordinator.updateTotals(Map.of(NORTH, lower), clock.nanoTime());
    assertEquals(-60, account().pool(clock.nanoTime()).rate());
    clock.advance(Duration.ofSeconds(3));
    for (int i = 0; i < 3; i++) {
      assertTrue(holder.applyGrant(coordinator.exchange("h", nextExchange(), clock.nanoTime())));
      clock.advance(Duration.ofSeconds(3));
    }
    assertEquals(40, share().rate());
    assertEquals(0, account().pool(clock.nanoTime()).rate());
  }

  private LimitAccount account() {
    return Objects.requireNonNull(coordinator.accounts().get(NORTH));
  }
}
