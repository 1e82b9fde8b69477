package verbenahatch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/** Takes bytes from the cap of one direction of a link, waiting while it is used up. */
final class LinkMeter {

  /** Fewer calls for large bodies; a small body takes what it needs. */
  private static final long PORTION_BYTES = 16 * 1024;

  private final Limits limits;
  private final Clock clock;
  private final Scheduler timer;
  private final String from;
  private final String to;
  private final long deadlineNanos;
  private long credit;

  LinkMeter(
      Limits limits, Clock clock, Scheduler timer, String from, String to, long deadlineNanos) {
    this.limits = limits;
    this.clock = clock;
    this.timer = timer;
    this.from = from;
    this.to = to;
    this.deadlineNanos = deadlineNanos;
  }

  boolean isUnlimited() {
    return from.equals(to);
  }

  /** Spends credit that was taken earlier. */
  synchronized boolean trySpend(long bytes) {
    if (isUnlimited()) {
      return true;
    }
    if (credit < bytes) {
      return false;
    }
    credit -= bytes;
    return true;
  }

  /**
   * Takes credit once, without waiting longer than the limit itself does.
   *
   * @param bytes the number of bytes
   * @return completes with whether they were granted
   */
  CompletableFuture<Boolean> take(long bytes) {
    if (isUnlimited()) {
      return CompletableFuture.completedFuture(true);
    }
    return limits
        .takeLinkBytes(from, to, bytes, deadlineNanos)
        .thenApply(
            admission -> {
              boolean granted = admission instanceof Admission.Admitted;
              if (granted) {
                add(bytes);
              }
              return granted;
            });
  }

  /**
   * Takes credit until there is enough for some bytes.
   *
   * @param bytes the number of bytes needed
   * @param done called with null, or with the reason why there is none by the deadline
   */
  void await(long bytes, Consumer<@Nullable Throwable> done) {
    long missing;
    synchronized (this) {
      missing = bytes - credit;
    }
    if (isUnlimited() || missing <= 0) {
      done.accept(null);
      return;
    }
    long portion = bytes < PORTION_BYTES / 2 ? missing : Math.max(missing, PORTION_BYTES);
    limits
        .takeLinkBytes(from, to, portion, deadlineNanos)
        .whenComplete(
            (admission, failure) -> {
              if (admission instanceof Admission.Admitted) {
                add(portion);
                done.accept(null);
              } else if (admission instanceof Admission.OverLimit over) {
                retry(bytes, over.retryAfterMillis(), done);
              } else {
                done.accept(new IllegalStateException("link " + from + " to " + to + " closed"));
              }
            });
  }

  private synchronized void add(long bytes) {
    credit += bytes;
  }

  private void retry(long bytes, long afterMillis, Consumer<@Nullable Throwable> done) {
    long wait = Math.max(1, afterMillis);
    if (clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait) - deadlineNanos >= 0) {
      done.accept(new IllegalStateException("link " + from + " to " + to + " is full"));
      return;
    }
    timer.schedule(() -> await(bytes, done), wait, TimeUnit.MILLISECONDS);
  }
}
