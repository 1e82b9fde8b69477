package verbenahatch.gateway.submission;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import verbenahatch.kernel.Clock;
import verbenahatch.peer.generated.TicketResult;
import verbenahatch.store.ObjectStore;

/**
 * Claims of submissions by the caller's idempotency key, kept in the store. Thread-safe.
 *
 * <p>Claims are distributed over buckets by the hash of the key. A bucket is one object that is
 * written conditionally, so that a host can write several claims at once and two hosts cannot both
 * make the same claim.
 */
public final class KeyClaims implements AutoCloseable {

  /**
   * Fewer buckets batch more claims per write; more buckets cause fewer conflicts between hosts.
   */
  static final int BUCKETS = 64;

  /** Maximum length of a caller's idempotency key, in characters. */
  public static final int MAX_KEY_LENGTH = 256;

  /** Maximum number of concurrent store calls of this host. */
  private static final int THREADS = 4;

  private static final int HASH_BYTES = 16;

  private final Clock clock;
  private final String environment;
  private final BucketWriter[] buckets = new BucketWriter[BUCKETS];
  private final ScheduledExecutorService executor;

  /**
   * Creates the claims of this host and a thread pool for store calls.
   *
   * @param store the store that keeps the claims
   * @param clock the clock of the process
   * @param environment the environment of this host
   */
  public KeyClaims(ObjectStore store, Clock clock, String environment) {
    this.clock = clock;
    this.environment = environment;
    this.executor =
        Executors.newScheduledThreadPool(
            THREADS,
            task -> {
              Thread thread = new Thread(task, "claims");
              thread.setDaemon(true);
              return thread;
            });
    for (int i = 0; i < BUCKETS; i++) {
      String name = String.format("claim/%s/%02d", environment, i);
      buckets[i] = new BucketWriter(name, store, clock, executor);
    }
  }

  /**
   * Claims the right to run the submission of a key.
   *
   * @param key the caller's idempotency key, at most {@link #MAX_KEY_LENGTH} characters
   * @param workspace the workspace of the request, empty for open routes
   * @return completes with the result, never exceptionally
   */
  public CompletableFuture<ClaimResult> claim(String key, String workspace) {
    byte[] hash = hash(environment + '\n' + workspace + '\n' + key);
    byte[] claimId = new byte[HASH_BYTES];
    ThreadLocalRandom.current().nextBytes(claimId);
    ClaimOp.Create create =
        new ClaimOp.Create(
            ByteString.copyFrom(hash),
            ByteString.copyFrom(claimId),
            new ClaimOp.Conflict(),
            new CompletableFuture<>());
    buckets[hash[0] & (BUCKETS - 1)].add(create);
    return create.future();
  }

  private static byte[] hash(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return Arrays.copyOf(digest.digest(text.getBytes(StandardCharsets.UTF_8)), HASH_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is part of every Java platform", e);
    }
  }

  @Override
  public void close() {
    executor.shutdown();
  }

  /** A granted claim in a bucket. */
  static final class BucketClaim implements Claim {
    private final BucketWriter bucket;
    private final ClaimOp.Create created;
    private final long grantedNanos;
    private final AtomicBoolean settled = new AtomicBoolean();

    BucketClaim(BucketWriter bucket, ClaimOp.Create created, long grantedNanos) {
      this.bucket = bucket;
      this.created = created;
      this.grantedNanos = grantedNanos;
    }

    @Override
    public boolean isHeld(long nowNanos) {
      return !settled.get() && nowNanos - grantedNanos < Tickets.CLAIM_VALIDITY_NANOS;
    }

    @Override
    public void settle(Settlement settlement, int status) {
      // A claim without a result means unknown, so unknown needs no write.
      if (settled.compareAndSet(false, true) && settlement != Settlement.UNKNOWN) {
        TicketResult.Result result = TicketResult.Result.valueOf(settlement.name());
        bucket.add(new ClaimOp.Settle(created.hash(), created.claimId(), result, status));
      }
    }
  }
}
