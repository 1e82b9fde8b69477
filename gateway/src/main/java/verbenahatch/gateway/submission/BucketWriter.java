package verbenahatch.gateway.submission;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.kernel.Result;
import verbenahatch.peer.generated.ClaimBucket;
import verbenahatch.peer.generated.KeyClaim;
import verbenahatch.peer.generated.TicketResult;
import verbenahatch.store.ObjectStore;
import verbenahatch.store.StoreError;
import verbenahatch.store.StoreWriter;
import verbenahatch.store.StoredObject;

/**
 * Writes the claims of one bucket to the store, one conditional write at a time.
 *
 * <p>Changes that arrive during a write, or within the batch delay, share the next write. A claim
 * is granted only after a write with it is confirmed, or after it is read back when the response of
 * the store was lost. Thread-safe.
 */
final class BucketWriter {

  /** Claims that arrive within this time share a write; it adds to the latency of each claim. */
  static final long BATCH_DELAY_MILLIS = 3;

  /**
   * Delay of writes that only record results. Results are not urgent: until they are written, a
   * repeated submission gets unknown.
   */
  static final long RESULT_BATCH_DELAY_MILLIS = 500;

  /** Age at which claims are removed; callers repeat a submission within a few hours. */
  static final long RETENTION_SECONDS = 6 * 3_600;

  /** Maximum size of a bucket; claims in a full bucket are refused as not run. */
  static final int MAX_BYTES = 900_000;

  /** Larger buckets are not cached in memory, but read before each write. */
  private static final int MAX_CACHED_BYTES = 64_000;

  /**
   * Maximum number of write attempts. If all of them conflict with writes of other hosts, the
   * claims are refused as not run.
   */
  private static final int MAX_ATTEMPTS = 16;

  private final String name;
  private final ObjectStore store;
  private final StoreWriter writer;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final List<ClaimOp> pendingOps = new ArrayList<>();
  private boolean writing;
  private boolean scheduled;
  private boolean urgent;
  private @Nullable StoredObject cached;

  BucketWriter(String name, ObjectStore store, Clock clock, ScheduledExecutorService executor) {
    this.name = name;
    this.store = store;
    this.writer = new StoreWriter(store);
    this.clock = clock;
    this.executor = executor;
  }

  void add(ClaimOp op) {
    boolean isUrgent = op instanceof ClaimOp.Create;
    synchronized (this) {
      pendingOps.add(op);
      if (writing || (scheduled && (urgent || !isUrgent))) {
        return;
      }
      scheduled = true;
      urgent = isUrgent;
    }
    long delay = isUrgent ? BATCH_DELAY_MILLIS : RESULT_BATCH_DELAY_MILLIS;
    executor.schedule(this::flush, delay, TimeUnit.MILLISECONDS);
  }

  private void flush() {
    List<ClaimOp> ops;
    synchronized (this) {
      if (writing || pendingOps.isEmpty()) {
        return;
      }
      writing = true;
      scheduled = false;
      ops = new ArrayList<>(pendingOps);
      pendingOps.clear();
    }
    try {
      write(ops);
    } catch (RuntimeException e) {
      refuse(ops, e.toString());
    }
    synchronized (this) {
      writing = false;
      if (pendingOps.isEmpty()) {
        return;
      }
      scheduled = true;
      urgent = true;
    }
    executor.execute(this::flush);
  }

  private void write(List<ClaimOp> ops) {
    StoreError lastError = new StoreError.Unavailable("no attempt");
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      StoredObject storedBucket = cached;
      if (storedBucket == null) {
        Result<StoredObject, StoreError> read = store.get(name);
        if (read.isOk()) {
          storedBucket = read.get();
        } else if (!(read.error() instanceof StoreError.NotFound)) {
          refuse(ops, read.error().toString());
          return;
        }
      }
      ClaimBucket.Builder bucket = parse(storedBucket);
      boolean changed = removeExpired(bucket);
      for (ClaimOp op : ops) {
        changed |= op.apply(bucket, clock.wallMillis() / 1_000);
      }
      if (!changed) {
        complete(ops);
        return;
      }
      byte[] value = bucket.build().toByteArray();
      if (value.length > MAX_BYTES) {
        refuse(ops, "bucket " + name + " is full");
        return;
      }
      long version = storedBucket == null ? 0 : storedBucket.version();
      Result<StoredObject, StoreError> written = writer.put(name, value, version);
      if (written.isOk()) {
        cached = value.length > MAX_CACHED_BYTES ? null : written.get();
        complete(ops);
        return;
      }
      cached = null;
      lastError = written.error();
      if (lastError instanceof StoreError.Unavailable || lastError instanceof StoreError.Invalid) {
        break;
      }
      // After a conflict, or if the response of the store was lost, the next read shows which
      // claims were written.
    }
    refuse(ops, lastError.toString());
  }

  private static ClaimBucket.Builder parse(@Nullable StoredObject storedBucket) {
    if (storedBucket == null) {
      return ClaimBucket.newBuilder();
    }
    try {
      return ClaimBucket.parseFrom(storedBucket.value()).toBuilder();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("bucket cannot be parsed: " + storedBucket.name(), e);
    }
  }

  private boolean removeExpired(ClaimBucket.Builder bucket) {
    long oldestSeconds = clock.wallMillis() / 1_000 - RETENTION_SECONDS;
    boolean removed = false;
    for (int i = bucket.getClaimsCount() - 1; i >= 0; i--) {
      if (bucket.getClaims(i).getClaimedSeconds() < oldestSeconds) {
        bucket.removeClaims(i);
        removed = true;
      }
    }
    return removed;
  }

  private void complete(List<ClaimOp> ops) {
    for (ClaimOp op : ops) {
      if (op instanceof ClaimOp.Create create) {
        create.future().complete(resultOf(create));
      }
    }
  }

  private ClaimResult resultOf(ClaimOp.Create create) {
    KeyClaim conflicting = create.conflict().claim;
    if (conflicting == null) {
      return new ClaimResult.Granted(new KeyClaims.BucketClaim(this, create, clock.nanoTime()));
    }
    return conflicting.getResult() == TicketResult.Result.RUN
        ? new ClaimResult.AlreadyRun(conflicting.getStatus())
        : new ClaimResult.Unknown();
  }

  private static void refuse(List<ClaimOp> ops, String reason) {
    for (ClaimOp op : ops) {
      if (op instanceof ClaimOp.Create create) {
        create.future().complete(new ClaimResult.Unavailable(reason));
      }
    }
  }
}
