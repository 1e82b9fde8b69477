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
  private final HomeLedger home = new HomeLedger(1, "home", Map.of(NORTH, spec), clock.nanoTime());

  private static HostLease lease() {
    LimitSimulation simulation =
        new LimitSimulation(1, 1, 1, TestDocuments.document(1, 1, 1, 1), Duration.ofMillis(10));
    return new HostLease(simulation.hosts().get(0));
  }

  private ShareExchange next() {
    return Objects.requireNonNull(holder.next());
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

  /** Guards against a grant that is applied twice because its answer arrived twice. */
  @Test
  void repeatedOrOtherGrantIsIgnored() {
    assertTrue(holder.adopt(1, "home"));
    assertEquals(1, next().getSequence());
    assertFalse(holder.granted(grant(1, 2)));
    assertTrue(holder.granted(grant(1, 1)));
    assertFalse(holder.granted(grant(1, 1)));
    clock.advance(Duration.ofSeconds(3));
    assertEquals(2, next().getSequence());
    assertFalse(holder.granted(grant(1, 1)));
    assertEquals(GRANTED, share());
  }

  /** Guards against a late grant of an epoch whose shares were already counted for the next. */
  @Test
  void closedEpochTransfersNothing() {
    assertTrue(holder.adopt(1, "home"));
    next();
    assertTrue(holder.close(1).getClosed());
    assertFalse(holder.granted(grant(1, 1)));
    assertNull(holder.next());
    assertFalse(holder.adopt(1, "home"));
    assertTrue(share().isEmpty());
    assertTrue(holder.adopt(2, "other"));
    assertFalse(holder.close(1).getClosed());
  }

  /** Guards against a retransmission with other content, and a return that stays usable. */
  @Test
  void openExchangeIsRepeatedUnchanged() {
    assertTrue(holder.adopt(1, "home"));
    next();
    assertTrue(holder.granted(grant(1, 1)));
    GrantLine keepNothing =
        GrantLine.newBuilder().setLimit(NORTH).setKeep(Share.NONE.toMessage()).build();
    holder.hint(1, List.of(keepNothing));
    ShareExchange sent = next();
    assertEquals(GRANTED, Share.of(sent.getLines(0).getReturned()));
    assertTrue(share().isEmpty());
    assertNull(holder.next());
    holder.failed(sent);
    clock.advance(Duration.ofSeconds(1));
    assertSame(sent, next());
  }

  /** Guards against a home that books a repeated exchange twice. */
  @Test
  void homeAnswersRepeatedExchangeFromMemory() {
    home.members(Map.of("h", true), clock.nanoTime());
    home.activate();
    assertTrue(holder.adopt(1, "home"));
    ShareExchange first = next();
    ShareGrant answer = home.exchange("h", first, clock.nanoTime());
    assertSame(answer, home.exchange("h", first, clock.nanoTime()));
    assertEquals(new Share(100, 100, 0), account().out());
    ShareExchange skipped = first.toBuilder().setSequence(3).build();
    assertEquals(
        ShareGrant.Outcome.REFUSED, home.exchange("h", skipped, clock.nanoTime()).getOutcome());
  }

  /** Guards against a lowered total that takes effect only on paper. */
  @Test
  void loweredTotalIsRecalled() {
    home.members(Map.of("h", true), clock.nanoTime());
    home.activate();
    assertTrue(holder.adopt(1, "home"));
    assertTrue(holder.granted(home.exchange("h", next(), clock.nanoTime())));
    LimitSpec lower = new LimitSpec(NORTH, LimitKind.REQUESTS, 40, 40);
    home.totals(Map.of(NORTH, lower), clock.nanoTime());
    assertEquals(-60, account().pool(clock.nanoTime()).rate());
    clock.advance(Duration.ofSeconds(3));
    for (int i = 0; i < 3; i++) {
      assertTrue(holder.granted(home.exchange("h", next(), clock.nanoTime())));
      clock.advance(Duration.ofSeconds(3));
    }
    assertEquals(40, share().rate());
    assertEquals(0, account().pool(clock.nanoTime()).rate());
  }

  private HomeAccount account() {
    return Objects.requireNonNull(home.accounts().get(NORTH));
  }
}
