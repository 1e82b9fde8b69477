package verbenahatch.store;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;

/** Sends one HTTP request within a time and tells whether a byte of it may have left. */
final class HttpCall {

  /** Longest answer that is read; a list of many large objects is far smaller than this. */
  private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

  /** Extra time for the client library to report its own timeout, in milliseconds. */
  private static final long BACKSTOP_MILLIS = 500;

  private enum Progress {
    WAITING,
    SENDING,
    CANCELLED
  }

  private final Request request;
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.WAITING);

  HttpCall(Request request) {
    this.request = request;
  }

  Outcome send(long timeoutMillis) {
    request.timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    request.onRequestBegin(this::begin);
    CompletableFuture<ContentResponse> answer =
        new CompletableResponseListener(request, MAX_ANSWER_BYTES).send();
    try {
      ContentResponse response = answer.get(timeoutMillis + BACKSTOP_MILLIS, TimeUnit.MILLISECONDS);
      return new Outcome.Answered(response.getStatus(), response.getContent());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return fail(e, false);
    } catch (TimeoutException e) {
      return fail(e, true);
    } catch (ExecutionException e) {
      Throwable cause = e.getCause() == null ? e : e.getCause();
      return fail(cause, cause instanceof TimeoutException);
    }
  }

  // A request that was given up before its first byte must not leave later, because its caller has
  // been told that nothing was written.
  private void begin(Request begun) {
    if (!progress.compareAndSet(Progress.WAITING, Progress.SENDING)) {
      begun.abort(new IOException("the call is over"));
    }
  }

  private Outcome fail(Throwable cause, boolean timedOut) {
    boolean neverLeft = progress.compareAndSet(Progress.WAITING, Progress.CANCELLED);
    request.abort(cause);
    String reason = timedOut ? "timed out" : String.valueOf(cause);
    return neverLeft ? new Outcome.NotSent(reason) : new Outcome.Broken(reason, timedOut);
  }

  /** Tells how a request ended. */
  sealed interface Outcome {

    /**
     * The server answered completely.
     *
     * @param status the HTTP status
     * @param body the body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, byte[] body) implements Outcome {}

    /**
     * No byte left this process.
     *
     * @param reason what happened
     */
    record NotSent(String reason) implements Outcome {}

    /**
     * The request may have arrived and no complete answer came.
     *
     * @param reason what happened
     * @param timedOut whether time ran out rather than the connection breaking
     */
    record Broken(String reason, boolean timedOut) implements Outcome {}
  }
}
