package verbenahatch.gateway.submission;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import verbenahatch.peer.generated.TicketResult;
import verbenahatch.peer.generated.TicketVerdict;
import verbenahatch.peer.generated.TicketVerdict.Verdict;

/**
 * Claims of the tickets that this incarnation issued. Thread-safe.
 *
 * <p>Tickets without a claim need no memory, because the id contains the time of issue. Only this
 * table grants claims, and it exists only in the memory of the process, so a ticket of an earlier
 * incarnation is never granted.
 */
final class TicketTable {

  /** Time after the issue within which a ticket may be claimed. */
  static final long TIME_TO_LIVE_NANOS = 60_000_000_000L;

  /** Time after the issue for which results are kept; repeats arrive within a few minutes. */
  static final long RETENTION_NANOS = 300_000_000_000L;

  /** Limits the memory to some tens of MB at most; further claims are refused as not run. */
  static final int MAX_CLAIMS = 100_000;

  private final Map<ByteString, Entry> entries = new ConcurrentHashMap<>();

  private record Entry(ByteString claimId, TicketResult.Result result, int status) {}

  TicketVerdict claim(ByteString id, ByteString claimId, long nowNanos) {
    long age = nowNanos - TicketCodec.Ticket.issuedNanos(id.toByteArray());
    Entry entry = entries.get(id);
    if (entry == null) {
      if (age >= RETENTION_NANOS) {
        return verdict(Verdict.UNKNOWN, 0);
      }
      if (age >= TIME_TO_LIVE_NANOS) {
        return verdict(Verdict.EXPIRED, 0);
      }
      if (entries.size() >= MAX_CLAIMS) {
        return verdict(Verdict.FULL, 0);
      }
      entry = entries.putIfAbsent(id, new Entry(claimId, TicketResult.Result.UNKNOWN, 0));
      if (entry == null) {
        return verdict(Verdict.GRANTED, 0);
      }
    }
    if (entry.result() == TicketResult.Result.RUN) {
      return verdict(Verdict.ALREADY_RUN, entry.status());
    }
    boolean sameClaim = entry.claimId().equals(claimId);
    return verdict(sameClaim ? Verdict.GRANTED : Verdict.UNKNOWN, 0);
  }

  private static TicketVerdict verdict(Verdict verdict, int status) {
    return TicketVerdict.newBuilder().setVerdict(verdict).setStatus(status).build();
  }

  void settle(ByteString id, ByteString claimId, TicketResult.Result result, int status) {
    entries.computeIfPresent(
        id,
        (key, entry) -> {
          if (!entry.claimId().equals(claimId) || entry.result() == TicketResult.Result.RUN) {
            return entry;
          }
          return result == TicketResult.Result.NOT_RUN ? null : new Entry(claimId, result, status);
        });
  }

  /** Removes claims of tickets that were issued longer ago than the retention time. */
  void removeExpired(long nowNanos) {
    entries
        .keySet()
        .removeIf(
            id -> nowNanos - TicketCodec.Ticket.issuedNanos(id.toByteArray()) >= RETENTION_NANOS);
  }

  int size() {
    return entries.size();
  }
}
