package verbenahatch.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Clock;
import verbenahatch.limits.Admission;
import verbenahatch.limits.Limits;

/**
 * Takes bytes from the bandwidth limit of one direction of a link, and waits while the limit is
 * exhausted. Traffic inside a region is unlimited.
 */
final class LinkMeter {

  /**
   * Bytes taken at once for a large body, so that fewer calls are needed. Chunks under half of this
   * take only what they need.
   */
  private static final long MIN_TAKE_BYTES = 16 * 1024;

  private final Limits limits;
  private final Clock clock;
  private final Scheduler timer;
  private final String fromRegion;
  private final String toRegion;
  private final long deadlineNanos;
  private long creditBytes;

  LinkMeter(
      Limits limits,
      Clock clock,
      Scheduler timer,
      String fromRegion,
      String toRegion,
      long deadlineNanos) {
    this.limits = limits;
    this.clock = clock;
    this.timer = timer;
    this.fromRegion = fromRegion;
    this.toRegion = toRegion;
    this.deadlineNanos = deadlineNanos;
  }

  boolean isUnlimited() {
    return fromRegion.equals(toRegion);
  }

  /**
   * Spends credit that was taken earlier. Returns false, and spends nothing, if it is too little.
   */
  synchronized boolean trySpend(long bytes) {
    if (isUnlimited()) {
      return true;
    }
    if (creditBytes < bytes) {
      return false;
    }
    creditBytes -= bytes;
    return true;
  }

  /**
   * Takes credit in one attempt, without retrying after the limit has refused it.
   *
   * @param bytes the number of bytes to take
   * @return completes with true if the limit granted the bytes
   */
  CompletableFuture<Boolean> take(long bytes) {
    if (isUnlimited()) {
      return CompletableFuture.completedFuture(true);
    }
    return limits
        .takeLinkBytes(fromRegion, toRegion, bytes, deadlineNanos)
        .thenApply(
            admission -> {
              boolean granted = admission instanceof Admission.Admitted;
              if (granted) {
                addCredit(bytes);
              }
              return granted;
            });
  }

  /**
   * Takes credit, with retries until the deadline, until there is enough for a number of bytes.
   *
   * @param bytes the number of bytes needed
   * @param callback called with null when there is enough credit, or with the failure if there
   *     cannot be enough before the deadline
   */
  void await(long bytes, Consumer<@Nullable Throwable> callback) {
    long missingBytes;
    synchronized (this) {
      missingBytes = bytes - creditBytes;
    }
    if (isUnlimited() || missingBytes <= 0) {
      callback.accept(null);
      return;
    }
    long requestedBytes =
        bytes < MIN_TAKE_BYTES / 2 ? missingBytes : Math.max(missingBytes, MIN_TAKE_BYTES);
    limits
        .takeLinkBytes(fromRegion, toRegion, requestedBytes, deadlineNanos)
        .whenComplete(
            (admission, failure) -> {
              if (admission instanceof Admission.Admitted) {
                addCredit(requestedBytes);
                callback.accept(null);
              } else if (admission instanceof Admission.OverLimit overLimit) {
                scheduleRetry(bytes, overLimit.retryAfterMillis(), callback);
              } else {
                callback.accept(
                    new IllegalStateException(
                        "link " + fromRegion + " to " + toRegion + " refused bytes"));
              }
            });
  }

  private synchronized void addCredit(long bytes) {
    creditBytes += bytes;
  }

  private void scheduleRetry(long bytes, long afterMillis, Consumer<@Nullable Throwable> callback) {
    long delayMillis = Math.max(1, afterMillis);
    if (clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis) - deadlineNanos >= 0) {
      callback.accept(
          new IllegalStateException(
              "link " + fromRegion + " to " + toRegion + " is at its limit until the deadline"));
      return;
    }
    timer.schedule(() -> await(bytes, callback), delayMillis, TimeUnit.MILLISECONDS);
  }
}
