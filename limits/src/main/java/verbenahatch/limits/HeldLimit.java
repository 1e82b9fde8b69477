package verbenahatch.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;

/**
 * Admits work under one limit at this host, immediately or after a bounded wait.
 *
 * <p>Thread-safe. No lock is taken when enough tokens are available. Waiting requests are served in
 * order of arrival.
 */
final class HeldLimit {

  /**
   * Longest wait of a request for tokens. A recall from a third host takes four one-way delays, 140
   * ms between the most distant regions; the rest allows for a retransmission.
   */
  static final long MAX_WAIT_NANOS = 400_000_000L;

  private static final long MAX_RETRY_AFTER_MILLIS = 10_000;
  private static final Admission ADMITTED = new Admission.Admitted();
  private static final Admission NOT_FRESH = new Admission.NotFresh();

  /** Result of an attempt to take tokens without waiting. */
  private enum Attempt {
    TAKEN,
    SHORT,
    NOT_FRESH
  }

  private record Waiter(long amount, long deadline, CompletableFuture<Admission> decision) {}

  private record Served(Waiter waiter, Admission admission) {}

  private final Clock clock;
  private final HostLease lease;
  private final String name;
  private final int group;
  private final LocalBucket bucket;
  private final DemandEstimate demand;
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final AtomicLong waiting = new AtomicLong();
  private volatile LimitSpec spec;
  private volatile boolean scarce;

  HeldLimit(LimitSpec spec, Clock clock, HostLease lease) {
    this.name = spec.name();
    this.group = LimitSpec.groupOf(name);
    this.spec = spec;
    this.clock = clock;
    this.lease = lease;
    this.bucket = new LocalBucket(spec.kind(), clock.nanoTime());
    this.demand = new DemandEstimate(clock.nanoTime());
  }

  String name() {
    return name;
  }

  int group() {
    return group;
  }

  LimitSpec spec() {
    return spec;
  }

  void spec(LimitSpec changed) {
    spec = changed;
  }

  LocalBucket bucket() {
    return bucket;
  }

  /** Returns the tokens that requests wait for, in millionths. */
  long waiting() {
    return waiting.get();
  }

  void scarce(boolean reported) {
    scarce = reported;
  }

  boolean scarce() {
    return scarce;
  }

  /**
   * Returns the demand to report: for slots the slots in use in millionths, otherwise millionths of
   * a token per second.
   */
  long demand(long now) {
    long perSecond = demand.update(now);
    return spec.kind() == LimitKind.SLOTS ? bucket.used() : perSecond;
  }

  /** Takes tokens, or queues the request until they arrive or the wait times out. */
  CompletableFuture<Admission> admit(long amount, long deadlineNanos) {
    demand.count(amount);
    if (waiting.get() == 0) {
      switch (attempt(amount)) {
        case TAKEN -> {
          return CompletableFuture.completedFuture(ADMITTED);
        }
        case NOT_FRESH -> {
          return CompletableFuture.completedFuture(NOT_FRESH);
        }
        default -> {}
      }
    }
    return await(amount, deadlineNanos);
  }

  private CompletableFuture<Admission> await(long amount, long deadlineNanos) {
    long now = clock.nanoTime();
    long deadline = Math.min(deadlineNanos - now, MAX_WAIT_NANOS) + now;
    if (deadline - now <= 0 || waiting.get() + amount > obtainableWithinWait(now)) {
      return CompletableFuture.completedFuture(overLimit(amount, now));
    }
    CompletableFuture<Admission> decision = new CompletableFuture<>();
    synchronized (waiters) {
      waiters.add(new Waiter(amount, deadline, decision));
      waiting.addAndGet(amount);
    }
    serveWaiters();
    return decision;
  }

  /**
   * Returns the millionths of a token that may become available during the wait. Requests beyond
   * that are refused at once, so that a workspace far above its rate does not fill the queue.
   */
  private long obtainableWithinWait(long now) {
    LimitSpec currentSpec = spec;
    if (currentSpec.kind() == LimitKind.SLOTS) {
      return scarce ? currentSpec.quantum() : currentSpec.burst();
    }
    if (!scarce) {
      return currentSpec.burst() + currentSpec.rate() * 2 / 5;
    }
    Share held = bucket.share(now);
    return held.tokens() + Math.max(held.rate() * 2 / 5, currentSpec.quantum());
  }

  private Attempt attempt(long amount) {
    if (!lease.isUsable()) {
      return Attempt.NOT_FRESH;
    }
    if (!bucket.take(amount, clock.nanoTime())) {
      return Attempt.SHORT;
    }
    // The process may have been suspended between the check and the take.
    if (!lease.isUsable()) {
      bucket.putBack(amount);
      return Attempt.NOT_FRESH;
    }
    return Attempt.TAKEN;
  }

  /** Completes the waiting requests that get tokens or whose wait has timed out. */
  void serveWaiters() {
    if (waiting.get() == 0) {
      return;
    }
    List<Served> served = new ArrayList<>();
    synchronized (waiters) {
      boolean more = true;
      while (more && !waiters.isEmpty()) {
        Waiter first = waiters.element();
        Admission admission = decide(first);
        more = admission != null;
        if (admission != null) {
          waiters.remove();
          waiting.addAndGet(-first.amount());
          served.add(new Served(first, admission));
        }
      }
    }
    for (Served entry : served) {
      entry.waiter().decision().complete(entry.admission());
    }
  }

  private @Nullable Admission decide(Waiter waiter) {
    long now = clock.nanoTime();
    if (now - waiter.deadline() >= 0) {
      return overLimit(waiter.amount(), now);
    }
    return switch (attempt(waiter.amount())) {
      case TAKEN -> ADMITTED;
      case NOT_FRESH -> NOT_FRESH;
      case SHORT -> null;
    };
  }

  private Admission overLimit(long amount, long now) {
    Share held = bucket.share(now);
    long rate = Math.max(held.rate(), spec.rate() / 100);
    long missing = amount + waiting.get() - held.tokens();
    long retryAfterMillis = rate == 0 ? 1_000 : (long) Math.ceil(Math.max(0, missing) * 1e3 / rate);
    return new Admission.OverLimit(Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(1, retryAfterMillis)));
  }

  /** Estimates the unused fraction of the local share, from 0 to 1; 0 if the share has no rate. */
  double headroom() {
    long now = clock.nanoTime();
    Share held = bucket.share(now);
    if (held.rate() == 0) {
      return 0;
    }
    return Math.max(0, 1 - (double) demand.update(now) / held.rate());
  }
}
