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
 * Claims submissions by the caller's idempotency key in the store. Thread-safe.
 *
 * <p>Claims are spread over buckets by the hash of the key. A bucket is one object that is written
 * conditionally, so a host writes several claims at once and two hosts cannot both make the same
 * claim.
 */
public final class KeyClaims implements AutoCloseable {

  /** Few buckets gather more claims per write; more buckets conflict less between hosts. */
  static final int BUCKETS = 64;

  /** Longest key of a caller, in characters. */
  public static final int MAX_KEY_LENGTH = 256;

  /** Store calls of one host at a time. */
  private static final int THREADS = 4;

  private static final int HASH_BYTES = 16;

  private final Clock clock;
  private final String environment;
  private final BucketWriter[] buckets = new BucketWriter[BUCKETS];
  private final ScheduledExecutorService executor;

  /**
   * Creates the claims of this host.
   *
   * @param store the store
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
   * @param key the caller's key, at most {@link #MAX_KEY_LENGTH} characters
   * @param workspace the workspace of the request, empty for open routes
   * @return completes with the result, never exceptionally
   */
  public CompletableFuture<ClaimResult> claim(String key, String workspace) {
    byte[] hash = hash(environment + '\n' + workspace + '\n' + key);
    byte[] claimId = new byte[HASH_BYTES];
    ThreadLocalRandom.current().nextBytes(claimId);
    ClaimOp.Make make =
        new ClaimOp.Make(
            ByteString.copyFrom(hash),
            ByteString.copyFrom(claimId),
            new ClaimOp.Found(),
            new CompletableFuture<>());
    buckets[hash[0] & (BUCKETS - 1)].add(make);
    return make.done();
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

  /** Holds a claim in a bucket. */
  static final class Held implements Claim {
    private final BucketWriter bucket;
    private final ClaimOp.Make made;
    private final long grantedNanos;
    private final AtomicBoolean settled = new AtomicBoolean();

    Held(BucketWriter bucket, ClaimOp.Make made, long grantedNanos) {
      this.bucket = bucket;
      this.made = made;
      this.grantedNanos = grantedNanos;
    }

    @Override
    public boolean isHeld(long nowNanos) {
      return !settled.get() && nowNanos - grantedNanos < Tickets.CLAIM_VALIDITY_NANOS;
    }

    @Override
    public void settle(Settlement settlement, int status) {
      // Unknown is what the claim says without a result, so it needs no write.
      if (settled.compareAndSet(false, true) && settlement != Settlement.UNKNOWN) {
        TicketResult.Result result = TicketResult.Result.valueOf(settlement.name());
        bucket.add(new ClaimOp.Settle(made.hash(), made.claimId(), result, status));
      }
    }
  }
}
