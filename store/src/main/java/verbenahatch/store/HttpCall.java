package verbenahatch.store;

import java.io.IOException;
import java.net.ProtocolException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import verbenahatch.http.ResponseStatus;

/** Sends one HTTP request within a timeout and reports whether any byte may have been sent. */
final class HttpCall {

  /** Maximum length of a response; a list of many large objects is far smaller than this. */
  private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

  /** Time beyond the timeout for the client library to report the timeout itself. */
  private static final long TIMEOUT_GRACE_MILLIS = 500;

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
    request.onRequestBegin(this::onRequestBegin);
    CompletableFuture<ContentResponse> future =
        new CompletableResponseListener(request, MAX_RESPONSE_BYTES).send();
    try {
      ContentResponse response =
          future.get(timeoutMillis + TIMEOUT_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      int status = response.getStatus();
      if (!ResponseStatus.isFinal(status)) {
        return fail(new ProtocolException(ResponseStatus.describeInvalid(status)), false);
      }
      return new Outcome.ResponseReceived(status, response.getContent());
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

  // A request that was cancelled before its first byte must not be sent later, because its caller
  // has already received NotSent, which means that nothing was written.
  private void onRequestBegin(Request startedRequest) {
    if (!progress.compareAndSet(Progress.WAITING, Progress.SENDING)) {
      startedRequest.abort(new IOException("call ended before the request was sent"));
    }
  }

  private Outcome fail(Throwable cause, boolean timedOut) {
    boolean neverSent = progress.compareAndSet(Progress.WAITING, Progress.CANCELLED);
    request.abort(cause);
    String reason = timedOut ? "timed out" : String.valueOf(cause);
    return neverSent ? new Outcome.NotSent(reason) : new Outcome.Incomplete(reason, timedOut);
  }

  /** Describes how a request ended. */
  sealed interface Outcome {

    /**
     * A complete response was received.
     *
     * @param status the HTTP status code
     * @param body the response body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record ResponseReceived(int status, byte[] body) implements Outcome {}

    /**
     * No byte of the request was sent.
     *
     * @param reason a description of the failure
     */
    record NotSent(String reason) implements Outcome {}

    /**
     * The request may have arrived, but no complete response was received.
     *
     * @param reason a description of the failure
     * @param timedOut true if the call timed out, false if it failed otherwise, for example because
     *     the connection broke
     */
    record Incomplete(String reason, boolean timedOut) implements Outcome {}
  }
}
