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
 * Writes the claims of one bucket, one conditional write at a time.
 *
 * <p>Changes that come while a write is under way, or within the gather time, share the next write.
 * A claim counts only when a write with it is confirmed, or when it is read back after a lost
 * answer. Thread-safe.
 */
final class BucketWriter {

  /** Claims of this long share a write; it adds to the latency of each. */
  static final long GATHER_MILLIS = 3;

  /** Results are not urgent: until they are written, repeats get unknown. */
  static final long GATHER_RESULTS_MILLIS = 500;

  /** Age at which claims are removed; callers repeat a submission within hours. */
  static final long RETENTION_SECONDS = 6 * 3_600;

  /** Largest bucket; a full one refuses claims as not run. */
  static final int MAX_BYTES = 900_000;

  /** Larger buckets are read before each write and not kept in memory. */
  private static final int MAX_CACHED_BYTES = 64_000;

  /** Writes lost against other hosts before claims are refused as not run. */
  private static final int ATTEMPTS = 16;

  private final String name;
  private final ObjectStore store;
  private final StoreWriter writer;
  private final Clock clock;
  private final ScheduledExecutorService executor;
  private final List<ClaimOp> pending = new ArrayList<>();
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
    boolean isUrgent = op instanceof ClaimOp.Make;
    synchronized (this) {
      pending.add(op);
      if (writing || (scheduled && (urgent || !isUrgent))) {
        return;
      }
      scheduled = true;
      urgent = isUrgent;
    }
    long delay = isUrgent ? GATHER_MILLIS : GATHER_RESULTS_MILLIS;
    executor.schedule(this::flush, delay, TimeUnit.MILLISECONDS);
  }

  private void flush() {
    List<ClaimOp> ops;
    synchronized (this) {
      if (writing || pending.isEmpty()) {
        return;
      }
      writing = true;
      scheduled = false;
      ops = new ArrayList<>(pending);
      pending.clear();
    }
    try {
      write(ops);
    } catch (RuntimeException e) {
      refuse(ops, e.toString());
    }
    synchronized (this) {
      writing = false;
      if (pending.isEmpty()) {
        return;
      }
      scheduled = true;
      urgent = true;
    }
    executor.execute(this::flush);
  }

  private void write(List<ClaimOp> ops) {
    StoreError last = new StoreError.Unavailable("no attempt");
    for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
      StoredObject current = cached;
      if (current == null) {
        Result<StoredObject, StoreError> read = store.get(name);
        if (read.isOk()) {
          current = read.get();
        } else if (!(read.error() instanceof StoreError.NotFound)) {
          refuse(ops, read.error().toString());
          return;
        }
      }
      ClaimBucket.Builder bucket = parse(current);
      boolean changed = prune(bucket);
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
      long version = current == null ? 0 : current.version();
      Result<StoredObject, StoreError> written = writer.put(name, value, version);
      if (written.isOk()) {
        cached = value.length > MAX_CACHED_BYTES ? null : written.get();
        complete(ops);
        return;
      }
      cached = null;
      last = written.error();
      if (last instanceof StoreError.Unavailable || last instanceof StoreError.Invalid) {
        break;
      }
      // After a conflict, or an answer that stayed lost, the next read shows whose claims are in.
    }
    refuse(ops, last.toString());
  }

  private static ClaimBucket.Builder parse(@Nullable StoredObject current) {
    if (current == null) {
      return ClaimBucket.newBuilder();
    }
    try {
      return ClaimBucket.parseFrom(current.value()).toBuilder();
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("bucket cannot be read: " + current.name(), e);
    }
  }

  private boolean prune(ClaimBucket.Builder bucket) {
    long oldest = clock.wallMillis() / 1_000 - RETENTION_SECONDS;
    boolean pruned = false;
    for (int i = bucket.getClaimsCount() - 1; i >= 0; i--) {
      if (bucket.getClaims(i).getClaimedSeconds() < oldest) {
        bucket.removeClaims(i);
        pruned = true;
      }
    }
    return pruned;
  }

  private void complete(List<ClaimOp> ops) {
    for (ClaimOp op : ops) {
      if (op instanceof ClaimOp.Make make) {
        make.done().complete(resultOf(make));
      }
    }
  }

  private ClaimResult resultOf(ClaimOp.Make make) {
    KeyClaim other = make.state().other;
    if (other == null) {
      return new ClaimResult.Granted(new KeyClaims.Held(this, make, clock.nanoTime()));
    }
    return other.getResult() == TicketResult.Result.RUN
        ? new ClaimResult.AlreadyRun(other.getStatus())
        : new ClaimResult.Unknown();
  }

  private static void refuse(List<ClaimOp> ops, String reason) {
    for (ClaimOp op : ops) {
      if (op instanceof ClaimOp.Make make) {
        make.done().complete(new ClaimResult.Unavailable(reason));
      }
    }
  }
}
