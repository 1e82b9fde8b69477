package verbenahatch.steering;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Holds the calls of one request that have not ended, and the one whose answer is passed on.
 *
 * <p>Calls may be added and aborted on any thread; which call streams is decided under the lock of
 * the request.
 */
final class RunningCalls {

  private final Set<TargetCall> calls = ConcurrentHashMap.newKeySet();
  private @Nullable TargetCall streamed;

  void add(TargetCall call) {
    calls.add(call);
  }

  void remove(TargetCall call) {
    calls.remove(call);
  }

  boolean isEmpty() {
    return calls.isEmpty();
  }

  /** Tells whether a call runs and no answer is passed on yet. */
  boolean isOpen(TargetCall call) {
    return calls.contains(call) && streamed == null;
  }

  /** Ends all calls but one; null keeps none. */
  void abortOthers(@Nullable TargetCall kept, String reason) {
    for (TargetCall call : calls) {
      if (call != kept) {
        call.abort(reason);
      }
    }
  }

  /** Ends the calls of a caller that left, but for those that may run once only and were sent. */
  void abandon(boolean idempotent, String reason) {
    for (TargetCall call : calls) {
      // A request that may run once only goes on, so that its effect is not left half done.
      if (idempotent || !call.isSent()) {
        call.abort(reason);
      }
    }
  }

  /** Makes a call the one whose answer is streamed; false if another one is. */
  boolean stream(TargetCall call) {
    if (streamed != null) {
      return false;
    }
    streamed = call;
    return true;
  }

  boolean isStreamed(TargetCall call) {
    return streamed == call;
  }

  boolean isOtherStreamed(TargetCall call) {
    return streamed != null && streamed != call;
  }
}
