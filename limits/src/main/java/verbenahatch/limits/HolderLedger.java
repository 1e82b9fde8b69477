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
 * Holds this host's state of the share exchange of one group.
 *
 * <p>At most one exchange is open at a time. It is sent unchanged until it is answered, so that
 * neither a return nor a grant is lost or applied twice. A returned share is removed from the
 * buckets before the exchange is sent. Once an epoch is closed here, nothing is sent or accepted in
 * it any more. Thread-safe.
 */
final class HolderLedger {

  /** Shortest time between exchanges while demand changes and no request waits. */
  static final long BUSY_PERIOD_NANOS = 250_000_000L;

  /**
   * Time between busy exchanges, per member of the fleet. It bounds the busy exchanges that the
   * coordinator of a group answers to 100 a second, however many members there are.
   */
  static final long BUSY_PERIOD_PER_MEMBER_NANOS = 10_000_000L;

  /** Shortest time between exchanges while nothing changes. */
  static final long IDLE_PERIOD_NANOS = 2_000_000_000L;

  /**
   * Time between idle exchanges, per member of the fleet. It bounds the idle exchanges that the
   * coordinator of a group answers to 25 a second, however many members there are.
   */
  static final long IDLE_PERIOD_PER_MEMBER_NANOS = 40_000_000L;

  /** Shortest time between two exchanges while requests wait. */
  static final long URGENT_PERIOD_NANOS = 10_000_000L;

  /** Time between urgent exchanges for a limit whose total is used up. */
  static final long SCARCE_PERIOD_NANOS = 200_000_000L;

  /** Wait before an exchange without a usable response is sent again. */
  static final long RETRY_NANOS = 40_000_000L;

  /** Change of demand, as a fraction of the last report, that makes a busy exchange due. */
  private static final double REPORTED_CHANGE_FRACTION = 0.2;

  /**
   * Change of demand, as a fraction of the rate held, that makes a busy exchange due. The share
   * covers smaller changes; reporting each of them cost 101 messages a second per host at 9 hosts.
   */
  private static final double REPORTED_CHANGE_FRACTION_OF_SHARE = 0.25;

  private final int group;
  private final Clock clock;
  private final Supplier<Collection<HeldLimit>> limits;
  private final IntSupplier memberCount;
  private final Map<String, ShareAmount> keepAmounts = new HashMap<>();
  private final Map<String, Long> reportedDemand = new HashMap<>();
  private long epoch;
  private long closedEpoch;
  private String coordinator = "";
  private long sequence;
  private long lastSentAt;
  private long retryAt;
  private boolean exchangeRequested;
  private boolean inFlight;
  private @Nullable ShareExchange openExchange;

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

  synchronized String coordinator() {
    return coordinator;
  }

  synchronized boolean hasOpenExchange() {
    return openExchange != null;
  }

  /** Returns whether the known epoch is closed here, so that exchanges need a newer one. */
  synchronized boolean isEpochClosed() {
    return epoch <= closedEpoch;
  }

  synchronized long closedEpoch() {
    return closedEpoch;
  }

  /**
   * Adopts a newer epoch and its coordinator; returns false for an epoch that is not newer or is
   * closed.
   */
  synchronized boolean adopt(long newEpoch, String incarnation) {
    if (newEpoch <= epoch || newEpoch <= closedEpoch) {
      return false;
    }
    epoch = newEpoch;
    coordinator = incarnation;
    resetExchange();
    return true;
  }

  private void resetExchange() {
    sequence = 0;
    openExchange = null;
    inFlight = false;
    exchangeRequested = true;
    keepAmounts.clear();
  }

  /**
   * Stops transfers of an epoch and reports the shares held; refuses if a newer epoch is in use.
   */
  synchronized CloseReport close(long closingEpoch) {
    if (epoch > closingEpoch) {
      return CloseReport.newBuilder().setClosed(false).build();
    }
    if (closingEpoch > closedEpoch || openExchange != null) {
      closedEpoch = Math.max(closedEpoch, closingEpoch);
      resetExchange();
    }
    CloseReport.Builder report = CloseReport.newBuilder().setClosed(true);
    long now = clock.nanoTime();
    for (HeldLimit limit : limits.get()) {
      ShareAmount held = limit.bucket().share(now).toMessage();
      report.addLines(ShareLine.newBuilder().setLimit(limit.name()).setHeld(held));
    }
    return report.build();
  }

  /** Empties the buckets and discards the epoch, for a new incarnation. */
  synchronized void reset() {
    long now = clock.nanoTime();
    limits.get().forEach(limit -> limit.bucket().reset(now));
    resetExchange();
    epoch = 0;
    coordinator = "";
  }

  /** Records a recall. It is only a hint, so a late or repeated one is harmless. */
  synchronized void recordRecall(long recallEpoch, List<GrantLine> lines) {
    if (recallEpoch != epoch || epoch <= closedEpoch) {
      return;
    }
    recordKeepAmounts(lines);
    exchangeRequested = true;
  }

  private void recordKeepAmounts(List<GrantLine> lines) {
    for (GrantLine line : lines) {
      if (line.hasKeep()) {
        keepAmounts.put(line.getLimit(), line.getKeep());
      }
    }
  }

  /**
   * Returns the exchange to send now, or null. The caller must report the end of each call with
   * {@link #applyGrant} or {@link #exchangeFailed}.
   */
  synchronized @Nullable ShareExchange nextExchange() {
    if (inFlight || epoch == 0 || epoch <= closedEpoch) {
      return null;
    }
    long now = clock.nanoTime();
    if (openExchange == null) {
      if (!isDue(now)) {
        return null;
      }
      openExchange = buildExchange(now);
      lastSentAt = now;
    } else if (now - retryAt < 0) {
      return null;
    }
    inFlight = true;
    return openExchange;
  }

  /** Ends a call without a usable response, so that the exchange is sent again. */
  synchronized void exchangeFailed(ShareExchange exchange) {
    if (exchange == openExchange) {
      inFlight = false;
      retryAt = clock.nanoTime() + RETRY_NANOS;
    }
  }

  /**
   * Applies the grant of the open exchange and returns true; ignores any other grant and returns
   * false.
   */
  synchronized boolean applyGrant(ShareGrant grant) {
    if (openExchange == null
        || grant.getEpoch() != epoch
        || epoch <= closedEpoch
        || grant.getSequence() != openExchange.getSequence()) {
      return false;
    }
    openExchange = null;
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
    recordKeepAmounts(grant.getLinesList());
    return true;
  }

  private boolean isDue(long now) {
    long sinceLastSent = now - lastSentAt;
    int members = memberCount.getAsInt();
    long idlePeriod = Math.max(IDLE_PERIOD_NANOS, IDLE_PERIOD_PER_MEMBER_NANOS * members);
    long busyPeriod = Math.max(BUSY_PERIOD_NANOS, BUSY_PERIOD_PER_MEMBER_NANOS * members);
    if (sinceLastSent >= idlePeriod || exchangeRequested || !keepAmounts.isEmpty()) {
      return true;
    }
    for (HeldLimit limit : limits.get()) {
      if (limit.waiting() > 0) {
        long period = limit.scarce() ? SCARCE_PERIOD_NANOS : URGENT_PERIOD_NANOS;
        if (sinceLastSent >= period) {
          return true;
        }
      }
      if (sinceLastSent >= busyPeriod && hasDemandChanged(limit, now)) {
        return true;
      }
    }
    return false;
  }

  private boolean hasDemandChanged(HeldLimit limit, long now) {
    long lastReported = reportedDemand.getOrDefault(limit.name(), 0L);
    long change = Math.abs(limit.demand(now) - lastReported);
    double shareThreshold = limit.bucket().share(now).rate() * REPORTED_CHANGE_FRACTION_OF_SHARE;
    double threshold = Math.max(shareThreshold, lastReported * REPORTED_CHANGE_FRACTION);
    return change > Math.max(threshold, limit.spec().quantum());
  }

  private ShareExchange buildExchange(long now) {
    sequence++;
    exchangeRequested = false;
    ShareExchange.Builder exchange =
        ShareExchange.newBuilder().setGroup(group).setEpoch(epoch).setSequence(sequence);
    for (HeldLimit limit : limits.get()) {
      ShareLine.Builder line = ShareLine.newBuilder().setLimit(limit.name());
      ShareAmount keep = keepAmounts.get(limit.name());
      if (keep != null) {
        Share returned = limit.bucket().removeAbove(keep.getRate(), keep.getBurst(), now);
        line.setReturned(returned.toMessage());
      }
      long demand = limit.demand(now);
      reportedDemand.put(limit.name(), demand);
      line.setHeld(limit.bucket().share(now).toMessage())
          .setDemand(demand)
          .setWanted(limit.waiting());
      exchange.addLines(line);
    }
    keepAmounts.clear();
    return exchange.build();
  }
}
