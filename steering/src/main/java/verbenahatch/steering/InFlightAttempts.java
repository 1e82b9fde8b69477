package verbenahatch.steering;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the attempts of one request that are in flight, and the one whose response is streamed.
 *
 * <p>Attempts may be added, removed and aborted on any thread; the methods about streaming must be
 * called under the lock of the request.
 */
final class InFlightAttempts {

  private final Set<TargetAttempt> attempts = ConcurrentHashMap.newKeySet();
  private @Nullable TargetAttempt streamedAttempt;

  void add(TargetAttempt attempt) {
    attempts.add(attempt);
  }

  void remove(TargetAttempt attempt) {
    attempts.remove(attempt);
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** Returns the attempt that has been in flight for the longest time, null if there is none. */
  @Nullable TargetAttempt oldest() {
    TargetAttempt oldest = null;
    for (TargetAttempt attempt : attempts) {
      if (oldest == null || attempt.startNanos - oldest.startNanos < 0) {
        oldest = attempt;
      }
    }
    return oldest;
  }

  /** Returns whether an attempt is in flight and no response is being streamed yet. */
  boolean isOpen(TargetAttempt attempt) {
    return attempts.contains(attempt) && streamedAttempt == null;
  }

  /** Aborts all attempts but one; null aborts all. */
  void abortOthers(@Nullable TargetAttempt kept, String reason) {
    for (TargetAttempt attempt : attempts) {
      if (attempt != kept) {
        attempt.abort(reason);
      }
    }
  }

  /**
   * Withdraws all attempts that are not being sent yet.
   *
   * @return true if none of the attempts reaches its target
   */
  boolean withdrawAll() {
    boolean allWithdrawn = true;
    for (TargetAttempt attempt : attempts) {
      allWithdrawn &= attempt.withdraw();
    }
    return allWithdrawn;
  }

  /** Aborts the attempts of a disconnected caller, except sent ones that are not idempotent. */
  void abortOnDisconnect(boolean idempotent, String reason) {
    for (TargetAttempt attempt : attempts) {
      // A request that is not idempotent continues, so that its effect is not left incomplete.
      if (idempotent || attempt.withdraw()) {
        attempt.abort(reason);
      }
    }
  }

  /** Selects the attempt whose response is streamed; returns false if one is selected already. */
  boolean startStreaming(TargetAttempt attempt) {
    if (streamedAttempt != null) {
      return false;
    }
    streamedAttempt = attempt;
    return true;
  }

  boolean isStreamed(TargetAttempt attempt) {
    return streamedAttempt == attempt;
  }

  boolean isOtherStreamed(TargetAttempt attempt) {
    return streamedAttempt != null && streamedAttempt != attempt;
  }
}
