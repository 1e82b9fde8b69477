package verbenahatch.gateway.submission;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.Fleet;
import verbenahatch.fleet.Member;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Result;
import verbenahatch.peer.MessageKind;
import verbenahatch.peer.PeerError;
import verbenahatch.peer.PeerLink;
import verbenahatch.peer.generated.TicketClaim;
import verbenahatch.peer.generated.TicketResult;
import verbenahatch.peer.generated.TicketResultAnswer;
import verbenahatch.peer.generated.TicketVerdict;

/**
 * Issues tickets and claims them at the incarnation that issued them. Thread-safe.
 *
 * <p>If that incarnation has left the fleet or does not respond, the result is {@link
 * ClaimResult.Unknown}.
 */
public final class Tickets {

  /** Time for which a claim may be used; the deadline of the request is usually sooner. */
  static final long CLAIM_VALIDITY_NANOS = 30_000_000_000L;

  /** Timeout of one claim or result sent to a peer; peers respond within a few milliseconds. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

  private static final int MAX_ATTEMPTS = 3;
  private static final int CLAIM_ID_BYTES = 16;

  private final Fleet fleet;
  private final PeerLink peers;
  private final Clock clock;
  private final TicketCodec codec;
  private final TicketTable table = new TicketTable();

  /**
   * Creates the tickets of this host and registers handlers for the claims and results of other
   * hosts.
   *
   * @param fleet the members of the fleet
   * @param peers sends messages to other hosts
   * @param clock the clock of the process
   * @param fleetSecret the secret that all hosts share
   * @param environment the environment of this host
   */
  public Tickets(Fleet fleet, PeerLink peers, Clock clock, String fleetSecret, String environment) {
    this.fleet = fleet;
    this.peers = peers;
    this.clock = clock;
    this.codec = new TicketCodec(fleetSecret, environment);
    peers.handle(MessageKind.CLAIM_TICKET, (sender, body) -> handleClaim(body));
    peers.handle(MessageKind.SETTLE_TICKET, (sender, body) -> handleResult(body));
  }

  /**
   * Issues a ticket.
   *
   * @param workspace the workspace that may use it, empty for open routes
   * @return the ticket as text, for a header field
   */
  public String issue(String workspace) {
    return codec.issue(fleet.self().incarnation(), workspace, clock.nanoTime());
  }

  /**
   * Returns the time after the issue within which a ticket may be used.
   *
   * @return the time to live, in milliseconds
   */
  public long timeToLiveMillis() {
    return TicketTable.TIME_TO_LIVE_NANOS / 1_000_000;
  }

  /** Removes claims and their results after the retention time. */
  public void removeExpired() {
    table.removeExpired(clock.nanoTime());
  }

  /**
   * Returns the number of claims that this incarnation keeps as the issuer.
   *
   * @return the number, 0 or more
   */
  public int claimCount() {
    return table.size();
  }

  /**
   * Claims the right to run the submission of a ticket.
   *
   * @param text the ticket
   * @param workspace the workspace of the request, empty for open routes
   * @param deadlineNanos the monotonic time, in nanoseconds, after which no further attempt is made
   * @return completes with the result, never exceptionally
   */
  public CompletableFuture<ClaimResult> claim(String text, String workspace, long deadlineNanos) {
    TicketCodec.Ticket ticket = codec.verify(text, workspace);
    if (ticket == null) {
      return CompletableFuture.completedFuture(new ClaimResult.Invalid());
    }
    byte[] claimId = new byte[CLAIM_ID_BYTES];
    ThreadLocalRandom.current().nextBytes(claimId);
    IssuedClaim claim =
        new IssuedClaim(
            ticket.incarnation(),
            ByteString.copyFrom(ticket.id()),
            ByteString.copyFrom(claimId),
            clock.nanoTime());
    if (ticket.incarnation().equals(fleet.self().incarnation())) {
      TicketVerdict verdict = table.claim(claim.id, claim.claimId, clock.nanoTime());
      return CompletableFuture.completedFuture(resultOf(verdict, claim));
    }
    return claimAtIssuer(claim, deadlineNanos, MAX_ATTEMPTS)
        .exceptionally(e -> releaseAsUnknown(claim));
  }

  private CompletableFuture<ClaimResult> claimAtIssuer(
      IssuedClaim claim, long deadlineNanos, int attempts) {
    Member issuer = memberOf(claim.incarnation);
    if (issuer == null || attempts == 0 || clock.nanoTime() - deadlineNanos >= 0) {
      return CompletableFuture.completedFuture(releaseAsUnknown(claim));
    }
    byte[] body =
        TicketClaim.newBuilder()
            .setTicketId(claim.id)
            .setClaimId(claim.claimId)
            .build()
            .toByteArray();
    return peers
        .call(issuer.peer(), MessageKind.CLAIM_TICKET, body, CALL_TIMEOUT)
        .thenCompose(
            response -> {
              if (response instanceof Result.Ok<byte[], PeerError> ok) {
                return CompletableFuture.completedFuture(parseVerdict(ok.value(), claim));
              }
              // The claim id makes the retry idempotent if the first call was handled.
              return claimAtIssuer(claim, deadlineNanos, attempts - 1);
            });
  }

  private ClaimResult parseVerdict(byte[] body, IssuedClaim claim) {
    try {
      return resultOf(TicketVerdict.parseFrom(body), claim);
    } catch (InvalidProtocolBufferException e) {
      return releaseAsUnknown(claim);
    }
  }

  // The issuer may have granted the claim. It is released, because this request does not run.
  private ClaimResult releaseAsUnknown(IssuedClaim claim) {
    claim.settle(Settlement.NOT_RUN, 0);
    return new ClaimResult.Unknown();
  }

  private static ClaimResult resultOf(TicketVerdict verdict, IssuedClaim claim) {
    return switch (verdict.getVerdict()) {
      case GRANTED -> new ClaimResult.Granted(claim);
      case ALREADY_RUN -> new ClaimResult.AlreadyRun(verdict.getStatus());
      case EXPIRED -> new ClaimResult.Expired();
      case FULL -> new ClaimResult.Unavailable("the issuer keeps too many claims");
      default -> new ClaimResult.Unknown();
    };
  }

  private @Nullable Member memberOf(String incarnation) {
    for (Member member : fleet.members()) {
      if (member.incarnation().equals(incarnation)) {
        return member;
      }
    }
    return null;
  }

  private CompletableFuture<byte[]> handleClaim(byte[] body) {
    try {
      TicketClaim claim = TicketClaim.parseFrom(body);
      if (claim.getTicketId().size() != TicketCodec.ID_BYTES) {
        return CompletableFuture.failedFuture(
            new IllegalArgumentException("ticket id has the wrong length"));
      }
      TicketVerdict verdict =
          table.claim(claim.getTicketId(), claim.getClaimId(), clock.nanoTime());
      return CompletableFuture.completedFuture(verdict.toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<byte[]> handleResult(byte[] body) {
    try {
      TicketResult result = TicketResult.parseFrom(body);
      table.settle(
          result.getTicketId(), result.getClaimId(), result.getResult(), result.getStatus());
      return CompletableFuture.completedFuture(
          TicketResultAnswer.getDefaultInstance().toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  /** A claim at the incarnation that issued the ticket. */
  private final class IssuedClaim implements Claim {
    private final String incarnation;
    private final ByteString id;
    private final ByteString claimId;
    private final long requestedNanos;
    private final AtomicBoolean settled = new AtomicBoolean();

    IssuedClaim(String incarnation, ByteString id, ByteString claimId, long requestedNanos) {
      this.incarnation = incarnation;
      this.id = id;
      this.claimId = claimId;
      this.requestedNanos = requestedNanos;
    }

    @Override
    public boolean isHeld(long nowNanos) {
      return !settled.get() && nowNanos - requestedNanos < CLAIM_VALIDITY_NANOS;
    }

    @Override
    public void settle(Settlement settlement, int status) {
      if (!settled.compareAndSet(false, true)) {
        return;
      }
      TicketResult.Result result = TicketResult.Result.valueOf(settlement.name());
      if (incarnation.equals(fleet.self().incarnation())) {
        table.settle(id, claimId, result, status);
        return;
      }
      TicketResult message =
          TicketResult.newBuilder()
              .setTicketId(id)
              .setClaimId(claimId)
              .setResult(result)
              .setStatus(status)
              .build();
      sendResult(message.toByteArray(), MAX_ATTEMPTS);
    }

    // If no attempt to send the result succeeds, the claim remains, so repeated submissions get
    // unknown.
    private void sendResult(byte[] message, int attempts) {
      Member issuer = memberOf(incarnation);
      if (issuer == null || attempts == 0) {
        return;
      }
      peers
          .call(issuer.peer(), MessageKind.SETTLE_TICKET, message, CALL_TIMEOUT)
          .thenAccept(
              response -> {
                if (!response.isOk()) {
                  sendResult(message, attempts - 1);
                }
              });
    }
  }
}
