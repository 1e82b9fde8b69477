package verbenahatch.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.CloseReport;
import verbenahatch.peer.generated.GrantLine;
import verbenahatch.peer.generated.ShareAmount;
import verbenahatch.peer.generated.ShareExchange;
import verbenahatch.peer.generated.ShareGrant;
import verbenahatch.peer.generated.ShareLine;

/**
 * Keeps the holder's side of the exchange of one group.
 *
 * <p>One exchange is open at a time. It is sent unchanged until it is answered, so that neither a
 * return nor a grant is lost or applied twice. What is returned leaves the buckets before the
 * exchange is sent. Once an epoch is closed here, nothing is sent or accepted in it any more.
 */
final class HolderLedger {

  /** Shortest time between exchanges while demand changes and no request waits. */
  static final long BUSY_PERIOD_NANOS = 250_000_000L;

  /**
   * Time between busy exchanges for each member of the fleet. The home of a group then answers at
   * most 100 of them a second however many members there are.
   */
  static final long BUSY_PERIOD_PER_MEMBER_NANOS = 10_000_000L;

  /** Shortest time between exchanges while nothing changes. */
  static final long IDLE_PERIOD_NANOS = 2_000_000_000L;

  /**
   * Time between idle exchanges for each member of the fleet. The home of a group then answers 25
   * of them a second however many members there are.
   */
  static final long IDLE_PERIOD_PER_MEMBER_NANOS = 40_000_000L;

  /** Shortest time between two exchanges while requests wait. */
  static final long URGENT_PERIOD_NANOS = 10_000_000L;

  /** Time between urgent exchanges for a limit whose total is used up. */
  static final long SCARCE_PERIOD_NANOS = 200_000_000L;

  /** Wait before an exchange that got no usable answer is sent again. */
  static final long RETRY_NANOS = 40_000_000L;

  /** Change of demand that is reported soon, as a fraction of the last report. */
  private static final double NOTABLE_CHANGE = 0.2;

  /**
   * Change of demand that is reported soon, as a fraction of the rate held. Smaller changes are met
   * by the share; reporting each cost 101 messages a second per host at 9 hosts.
   */
  private static final double NOTABLE_PART_OF_SHARE = 0.25;

  private final int group;
  private final Clock clock;
  private final Supplier<Collection<HeldLimit>> limits;
  private final IntSupplier memberCount;
  private final Map<String, ShareAmount> keeps = new HashMap<>();
  private final Map<String, Long> reported = new HashMap<>();
  private long epoch;
  private long closedEpoch;
  private String home = "";
  private long sequence;
  private long lastSentAt;
  private long retryAt;
  private boolean hinted;
  private boolean inFlight;
  private @Nullable ShareExchange open;

  HolderLedger(
      int group, Clock clock, Supplier<Collection<HeldLimit>> limits, IntSupplier memberCount) {
    this.memberCount = memberCount;
    this.group = group;
    this.clock = clock;
    this.limits = limits;
    this.lastSentAt = clock.nanoTime() - IDLE_PERIOD_NANOS;
  }

  synchronized long epoch() {
    return epoch;
  }

  synchronized String home() {
    return home;
  }

  synchronized boolean exchangeOpen() {
    return open != null;
  }

  /** Returns true if the known epoch is closed here, so that only a newer one helps. */
  synchronized boolean isStopped() {
    return epoch <= closedEpoch;
  }

  synchronized long closedEpoch() {
    return closedEpoch;
  }

  /** Follows a newer epoch; returns false for one that is older or closed. */
  synchronized boolean adopt(long newer, String incarnation) {
    if (newer <= epoch || newer <= closedEpoch) {
      return false;
    }
    epoch = newer;
    home = incarnation;
    abandon();
    return true;
  }

  private void abandon() {
    sequence = 0;
    open = null;
    inFlight = false;
    hinted = true;
    keeps.clear();
  }

  /** Stops transfers of an epoch and reports the shares held. */
  synchronized CloseReport close(long closing) {
    if (epoch > closing) {
      return CloseReport.newBuilder().setClosed(false).build();
    }
    if (closing > closedEpoch || open != null) {
      closedEpoch = Math.max(closedEpoch, closing);
      abandon();
    }
    CloseReport.Builder report = CloseReport.newBuilder().setClosed(true);
    long now = clock.nanoTime();
    for (HeldLimit limit : limits.get()) {
      ShareAmount held = limit.bucket().share(now).toMessage();
      report.addLines(ShareLine.newBuilder().setLimit(limit.name()).setHeld(held));
    }
    return report.build();
  }

  /** Empties the buckets for a new incarnation. */
  synchronized void reset() {
    long now = clock.nanoTime();
    limits.get().forEach(limit -> limit.bucket().reset(now));
    abandon();
    epoch = 0;
    home = "";
  }

  /** Notes a recall; it is only advice, so a late or repeated one does no harm. */
  synchronized void hint(long hintEpoch, List<GrantLine> lines) {
    if (hintEpoch != epoch || epoch <= closedEpoch) {
      return;
    }
    note(lines);
    hinted = true;
  }

  private void note(List<GrantLine> lines) {
    for (GrantLine line : lines) {
      if (line.hasKeep()) {
        keeps.put(line.getLimit(), line.getKeep());
      }
    }
  }

  /** Returns the exchange to send now, or null. The caller reports the end of each call. */
  synchronized @Nullable ShareExchange next() {
    if (inFlight || epoch == 0 || epoch <= closedEpoch) {
      return null;
    }
    long now = clock.nanoTime();
    if (open == null) {
      if (!isDue(now)) {
        return null;
      }
      open = build(now);
      lastSentAt = now;
    } else if (now - retryAt < 0) {
      return null;
    }
    inFlight = true;
    return open;
  }

  /** Marks a call without a usable answer as over, so that the exchange is sent again. */
  synchronized void failed(ShareExchange exchange) {
    if (exchange == open) {
      inFlight = false;
      retryAt = clock.nanoTime() + RETRY_NANOS;
    }
  }

  /** Applies the answer to the open exchange; any other answer is ignored. */
  synchronized boolean granted(ShareGrant grant) {
    if (open == null
        || grant.getEpoch() != epoch
        || epoch <= closedEpoch
        || grant.getSequence() != open.getSequence()) {
      return false;
    }
    open = null;
    inFlight = false;
    long now = clock.nanoTime();
    Map<String, HeldLimit> byName = new HashMap<>();
    limits.get().forEach(limit -> byName.put(limit.name(), limit));
    for (GrantLine line : grant.getLinesList()) {
      HeldLimit limit = byName.get(line.getLimit());
      if (limit != null) {
        limit.bucket().add(Share.of(line.getGranted()), now);
        limit.scarce(line.getScarce());
      }
    }
    note(grant.getLinesList());
    return true;
  }

  private boolean isDue(long now) {
    long since = now - lastSentAt;
    int members = memberCount.getAsInt();
    long idle = Math.max(IDLE_PERIOD_NANOS, IDLE_PERIOD_PER_MEMBER_NANOS * members);
    long busy = Math.max(BUSY_PERIOD_NANOS, BUSY_PERIOD_PER_MEMBER_NANOS * members);
    if (since >= idle || hinted || !keeps.isEmpty()) {
      return true;
    }
    for (HeldLimit limit : limits.get()) {
      if (limit.waiting() > 0) {
        long period = limit.scarce() ? SCARCE_PERIOD_NANOS : URGENT_PERIOD_NANOS;
        if (since >= period) {
          return true;
        }
      }
      if (since >= busy && changed(limit, now)) {
        return true;
      }
    }
    return false;
  }

  private boolean changed(HeldLimit limit, long now) {
    long last = reported.getOrDefault(limit.name(), 0L);
    long change = Math.abs(limit.demand(now) - last);
    double ofShare = limit.bucket().share(now).rate() * NOTABLE_PART_OF_SHARE;
    double notable = Math.max(ofShare, last * NOTABLE_CHANGE);
    return change > Math.max(notable, limit.spec().quantum());
  }

  private ShareExchange build(long now) {
    sequence++;
    hinted = false;
    ShareExchange.Builder exchange =
        ShareExchange.newBuilder().setGroup(group).setEpoch(epoch).setSequence(sequence);
    for (HeldLimit limit : limits.get()) {
      ShareLine.Builder line = ShareLine.newBuilder().setLimit(limit.name());
      ShareAmount keep = keeps.get(limit.name());
      if (keep != null) {
        Share returned = limit.bucket().removeAbove(keep.getRate(), keep.getBurst(), now);
        line.setReturned(returned.toMessage());
      }
      long demand = limit.demand(now);
      reported.put(limit.name(), demand);
      line.setHeld(limit.bucket().share(now).toMessage())
          .setDemand(demand)
          .setWanted(limit.waiting());
      exchange.addLines(line);
    }
    keeps.clear();
    return exchange.build();
  }
}
