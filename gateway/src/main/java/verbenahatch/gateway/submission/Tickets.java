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
 * <p>If that incarnation is gone or does not answer, the submission is {@link ClaimResult.Unknown}.
 */
public final class Tickets {

  /** Longest time that a claim may wait for use; the deadline of the request is usually sooner. */
  static final long CLAIM_VALIDITY_NANOS = 30_000_000_000L;

  /** One claim or report to a peer; the link answers within some milliseconds. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

  private static final int ATTEMPTS = 3;
  private static final int CLAIM_ID_BYTES = 16;

  private final Fleet fleet;
  private final PeerLink peers;
  private final Clock clock;
  private final TicketCodec codec;
  private final TicketTable table = new TicketTable();

  /**
   * Creates the tickets of this host and answers claims of other hosts.
   *
   * @param fleet the members
   * @param peers the link to other hosts
   * @param clock the clock of the process
   * @param fleetSecret the secret that all hosts share
   * @param environment the environment of this host
   */
  public Tickets(Fleet fleet, PeerLink peers, Clock clock, String fleetSecret, String environment) {
    this.fleet = fleet;
    this.peers = peers;
    this.clock = clock;
    this.codec = new TicketCodec(fleetSecret, environment);
    peers.handle(MessageKind.CLAIM_TICKET, (sender, body) -> answerClaim(body));
    peers.handle(MessageKind.SETTLE_TICKET, (sender, body) -> answerResult(body));
  }

  /**
   * Issues a ticket.
   *
   * @param workspace the workspace that may use it, empty for open routes
   * @return the text of the ticket
   */
  public String issue(String workspace) {
    return codec.issue(fleet.self().incarnation(), workspace, clock.nanoTime());
  }

  /**
   * Returns the time in which a ticket may be used.
   *
   * @return milliseconds
   */
  public long timeToLiveMillis() {
    return TicketTable.TIME_TO_LIVE_NANOS / 1_000_000;
  }

  /** Forgets results that are too old to matter. */
  public void removeExpired() {
    table.removeExpired(clock.nanoTime());
  }

  /**
   * Returns how many claims are kept.
   *
   * @return the number
   */
  public int claimCount() {
    return table.size();
  }

  /**
   * Claims the right to run the submission of a ticket.
   *
   * @param text the ticket
   * @param workspace the workspace of the request, empty for open routes
   * @param deadlineNanos the latest time at which the answer is of use
   * @return completes with the result, never exceptionally
   */
  public CompletableFuture<ClaimResult> claim(String text, String workspace, long deadlineNanos) {
    TicketCodec.Ticket ticket = codec.read(text, workspace);
    if (ticket == null) {
      return CompletableFuture.completedFuture(new ClaimResult.Invalid());
    }
    byte[] random = new byte[CLAIM_ID_BYTES];
    ThreadLocalRandom.current().nextBytes(random);
    Held claim =
        new Held(
            ticket.incarnation(),
            ByteString.copyFrom(ticket.id()),
            ByteString.copyFrom(random),
            clock.nanoTime());
    if (ticket.incarnation().equals(fleet.self().incarnation())) {
      TicketVerdict verdict = table.claim(claim.id, claim.claimId, clock.nanoTime());
      return CompletableFuture.completedFuture(resultOf(verdict, claim));
    }
    return claimAtIssuer(claim, deadlineNanos, ATTEMPTS).exceptionally(e -> unknown(claim));
  }

  private CompletableFuture<ClaimResult> claimAtIssuer(
      Held claim, long deadlineNanos, int attempts) {
    Member issuer = member(claim.incarnation);
    if (issuer == null || attempts == 0 || clock.nanoTime() - deadlineNanos >= 0) {
      return CompletableFuture.completedFuture(unknown(claim));
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
            answer -> {
              if (answer instanceof Result.Ok<byte[], PeerError> ok) {
                return CompletableFuture.completedFuture(read(ok.value(), claim));
              }
              // The claim id makes the repeat harmless if the first call was handled.
              return claimAtIssuer(claim, deadlineNanos, attempts - 1);
            });
  }

  private ClaimResult read(byte[] body, Held claim) {
    try {
      return resultOf(TicketVerdict.parseFrom(body), claim);
    } catch (InvalidProtocolBufferException e) {
      return unknown(claim);
    }
  }

  // The issuer may have granted the claim. It is given back, because this request runs nothing.
  private ClaimResult unknown(Held claim) {
    claim.settle(Settlement.NOT_RUN, 0);
    return new ClaimResult.Unknown();
  }

  private static ClaimResult resultOf(TicketVerdict verdict, Held claim) {
    return switch (verdict.getVerdict()) {
      case GRANTED -> new ClaimResult.Granted(claim);
      case ALREADY_RUN -> new ClaimResult.AlreadyRun(verdict.getStatus());
      case EXPIRED -> new ClaimResult.Expired();
      case FULL -> new ClaimResult.Unavailable("the issuer keeps too many claims");
      default -> new ClaimResult.Unknown();
    };
  }

  private @Nullable Member member(String incarnation) {
    for (Member member : fleet.members()) {
      if (member.incarnation().equals(incarnation)) {
        return member;
      }
    }
    return null;
  }

  private CompletableFuture<byte[]> answerClaim(byte[] body) {
    try {
      TicketClaim claim = TicketClaim.parseFrom(body);
      if (claim.getTicketId().size() != TicketCodec.ID_BYTES) {
        return CompletableFuture.failedFuture(new IllegalArgumentException("ticket id"));
      }
      TicketVerdict verdict =
          table.claim(claim.getTicketId(), claim.getClaimId(), clock.nanoTime());
      return CompletableFuture.completedFuture(verdict.toByteArray());
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<byte[]> answerResult(byte[] body) {
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

  /** Holds a claim at an issuer. */
  private final class Held implements Claim {
    private final String incarnation;
    private final ByteString id;
    private final ByteString claimId;
    private final long askedNanos;
    private final AtomicBoolean settled = new AtomicBoolean();

    Held(String incarnation, ByteString id, ByteString claimId, long askedNanos) {
      this.incarnation = incarnation;
      this.id = id;
      this.claimId = claimId;
      this.askedNanos = askedNanos;
    }

    @Override
    public boolean isHeld(long nowNanos) {
      return !settled.get() && nowNanos - askedNanos < CLAIM_VALIDITY_NANOS;
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
      report(message.toByteArray(), ATTEMPTS);
    }

    // A report that is lost for good leaves the claim in place, so repeats get unknown.
    private void report(byte[] message, int attempts) {
      Member issuer = member(incarnation);
      if (issuer == null || attempts == 0) {
        return;
      }
      peers
          .call(issuer.peer(), MessageKind.SETTLE_TICKET, message, CALL_TIMEOUT)
          .thenAccept(
              answer -> {
                if (!answer.isOk()) {
                  report(message, attempts - 1);
                }
              });
    }
  }
}
