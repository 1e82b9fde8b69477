package verbenahatch.gateway;

import java.io.Serial;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.nio.channels.UnresolvedAddressException;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.CloseDelimitedResponse;
import verbenahatch.http.ResponseStatus;
import verbenahatch.http.VerbatimRequest;
import verbenahatch.model.EnvironmentDocument.Target;

/** Forwards a request to one target and streams its response to the caller. */
final class Attempt {

  /** Fraction of the remaining time that the first attempt of an idempotent request may use. */
  private static final double FIRST_ATTEMPT_FRACTION = 0.5;

  private final Exchange exchange;
  private final Slot slot;
  private final Target target;
  private final String requestId = UUID.randomUUID().toString();
  private final AtomicBoolean completed = new AtomicBoolean();

  /** Set by the first of two ends: that of the target's response and that of its copy. */
  private final AtomicBoolean oneEndReached = new AtomicBoolean();

  private volatile @Nullable Request upstream;
  private volatile @Nullable Refusal refusal;
  private volatile boolean sent;
  private volatile boolean responseStarted;
  private volatile boolean responseEnded;
  private volatile @Nullable Throwable copyFailure;
  private volatile boolean callerDisconnected;
  private volatile long responseStartNanos;
  private long startNanos;

  Attempt(Exchange exchange, Slot slot) {
    this.exchange = exchange;
    this.slot = slot;
    this.target = slot.target().target();
  }

  /** Aborts an attempt because the gateway refuses the request or the response. */
  private static final class Refused extends RuntimeException {
    @Serial private static final long serialVersionUID = 1L;

    Refused(Refusal refusal) {
      super(refusal.code(), null, false, false);
    }
  }

  void start() {
    startNanos = exchange.context.clock().nanoTime();
    boolean idempotent = exchange.matchedRoute().idempotent();
    boolean ownConnection = !idempotent || exchange.isRetry();
    org.eclipse.jetty.server.Request callerRequest = exchange.request;
    long timeLeftMillis = Math.max(1, exchange.remainingMillis());
    boolean mayRetry = idempotent && !exchange.isRetry() && exchange.content() == null;
    long timeoutMillis =
        mayRetry ? Math.max(1, (long) (timeLeftMillis * FIRST_ATTEMPT_FRACTION)) : timeLeftMillis;
    Request targetRequest =
        VerbatimRequest.create(
                exchange.dataPath.client().client(ownConnection),
                target.address(),
                target.port(),
                pathAndQuery(callerRequest))
            .method(callerRequest.getMethod())
            .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
            // The idle timeout of the client is for connections between requests.
            .idleTimeout(0, TimeUnit.MILLISECONDS)
            .headers(headers -> writeHeaders(callerRequest, headers, ownConnection));
    CallerContent content = exchange.content();
    if (content != null) {
      targetRequest.body(new MeteredContent(content, slot.requestMeter()));
      if (content.getLength() < 0) {
        targetRequest.trailersSupplier(content::trailers);
      }
    }
    upstream = targetRequest;
    targetRequest
        .onRequestBegin(this::beforeFirstByte)
        .onResponseBegin(this::checkStatus)
        .onResponseContentSource(this::onResponse)
        .send(this::complete);
  }

  private String pathAndQuery(org.eclipse.jetty.server.Request callerRequest) {
    String path = callerRequest.getHttpURI().getCanonicalPath();
    String query = KeyStripper.stripQuery(callerRequest.getHttpURI().getQuery(), exchange.key());
    return query == null ? path : path + '?' + query;
  }

  private void writeHeaders(
      org.eclipse.jetty.server.Request callerRequest,
      HttpFields.Mutable headers,
      boolean ownConnection) {
    HeaderRules.copyRequest(callerRequest.getHeaders(), headers, exchange.key());
    String authority = callerRequest.getHttpURI().getAuthority();
    if (authority != null) {
      headers.put(HttpHeader.HOST, authority);
    }
    headers.put(HeaderNames.REQUEST_ID, requestId);
    headers.put(HeaderNames.DEADLINE, Math.max(1, exchange.remainingMillis()));
    String workspace = exchange.workspace();
    if (workspace != null) {
      headers.put(HeaderNames.WORKSPACE, workspace);
    }
    Submissions.Submission submission = exchange.submission();
    if (submission != null) {
      headers.put(HeaderNames.SUBMISSION, submission.id());
    }
    if (ownConnection) {
      headers.put(HttpHeader.CONNECTION, "close");
    }
  }

  private void beforeFirstByte(Request request) {
    Refusal rejection = exchange.checkBeforeSend();
    if (rejection != null) {
      refusal = rejection;
      request.abort(new Refused(rejection));
      return;
    }
    sent = true;
  }

  /**
   * Fails the attempt if its response has a status that no final response may have.
   *
   * <p>At the head of an interim response that is not skipped, the library reports no content to
   * {@link #onResponse}.
   */
  private void checkStatus(Response response) {
    int status = response.getStatus();
    if (!ResponseStatus.isFinal(status)) {
      response.abort(new ProtocolException(ResponseStatus.describeInvalid(status)));
    }
  }

  private void onResponse(Response response, Content.Source source) {
    responseStartNanos = exchange.context.clock().nanoTime();
    LoadReports.recordFromResponse(response.getHeaders(), slot.target(), responseStartNanos);
    Refusal rejection = inspect(response);
    if (rejection != null) {
      refusal = rejection;
      response.abort(new Refused(rejection));
      return;
    }
    responseStarted = true;
    org.eclipse.jetty.server.Response callerResponse = exchange.response;
    callerResponse.setStatus(response.getStatus());
    HeaderRules.copyResponse(response.getHeaders(), callerResponse.getHeaders());
    callerResponse.getHeaders().put(HeaderNames.OUTCOME, Outcome.RUN.text());
    if (!response.getHeaders().contains(HeaderNames.REQUEST_ID)) {
      TargetClient.closeAfter(response);
    }
    if (response.getHeaders().contains(HttpHeader.TRAILER)) {
      callerResponse.setTrailersSupplier(response::getTrailers);
    }
    long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
    slot.service().recordResponseBytes(Math.max(0, length));
    Content.Source metered = new MeteredContent(source, slot.responseMeter());
    Content.Sink callerSink = CloseDelimitedResponse.of(exchange.request, callerResponse);
    Content.copy(metered, callerSink, Callback.from(this::finishOnceComplete, this::copyFailed));
  }

  private @Nullable Refusal inspect(Response response) {
    HttpFields headers = response.getHeaders();
    String echoedRequestId = headers.get(HeaderNames.REQUEST_ID);
    if (echoedRequestId != null && !echoedRequestId.equals(requestId)) {
      exchange.context.events().log(GatewayEvent.ANSWER_MISMATCHED, target.id());
      return Refusal.ANSWER_MISMATCHED;
    }
    if (response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
        && Outcome.NOT_RUN.text().equals(headers.get(HeaderNames.SHED))) {
      return Refusal.TARGET_SHED;
    }
    return isFramed(response) ? null : Refusal.TARGET_FAILED;
  }

  // A response that is delimited only by the end of the connection cannot be distinguished from
  // a truncated one.
  private boolean isFramed(Response response) {
    HttpField length = response.getHeaders().getField(HttpHeader.CONTENT_LENGTH);
    return length != null
        || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
        || HttpMethod.HEAD.is(exchange.request.getMethod())
        || response.getStatus() == HttpStatus.NO_CONTENT_204
        || response.getStatus() == HttpStatus.NOT_MODIFIED_304;
  }

  /** Aborts the attempt because the caller has disconnected; the target connection is closed. */
  void cancel(Throwable cause) {
    callerDisconnected = true;
    Request current = upstream;
    if (current != null) {
      current.abort(cause);
    }
  }

  /**
   * Finishes the exchange when the target's response has ended and its last byte was written.
   *
   * <p>The library may report the end of the response before the copy has written its own end. The
   * connection of a caller without chunks would then be reset although the response is complete.
   */
  private void finishOnceComplete() {
    if (!oneEndReached.compareAndSet(false, true)) {
      exchange.finish();
    }
  }

  private void copyFailed(Throwable failure) {
    copyFailure = failure;
    cancel(failure);
    abortIfEnded();
  }

  /** Aborts the response if it can't be written and its end was received, so none other will. */
  private void abortIfEnded() {
    Throwable failure = copyFailure;
    if (failure == null || !responseEnded) {
      return;
    }
    if (exchange.response.isCommitted()) {
      exchange.abortResponse(failure);
    } else {
      exchange.refuse(Refusal.TARGET_FAILED);
    }
  }

  private void complete(Result result) {
    if (!completed.compareAndSet(false, true)) {
      return;
    }
    record(result);
    slot.release();
    if (result.isSucceeded()) {
      responseEnded = true;
      abortIfEnded();
      finishOnceComplete();
      return;
    }
    Throwable failure = result.getFailure();
    if (responseStarted && exchange.response.isCommitted()) {
      exchange.abortResponse(failure);
      return;
    }
    if (failure instanceof TimeoutException && sent) {
      closeIdleConnections();
    }
    exchange.attemptFailed(refusalFor(failure), sent && !certainlyNotRun(), bodyReadStarted());
  }

  private boolean certainlyNotRun() {
    return refusal == Refusal.TARGET_SHED && exchange.matchedRoute().idempotent();
  }

  private boolean bodyReadStarted() {
    CallerContent content = exchange.content();
    return content != null && content.isReadStarted();
  }

  private Refusal refusalFor(Throwable failure) {
    Refusal recordedRefusal = refusal;
    if (recordedRefusal != null) {
      return recordedRefusal;
    }
    if (!sent) {
      boolean deadlinePassed =
          failure instanceof TimeoutException && exchange.remainingMillis() <= 0;
      return deadlinePassed ? Refusal.DEADLINE_UNREACHABLE : Refusal.TARGET_UNREACHABLE;
    }
    return failure instanceof TimeoutException ? Refusal.DEADLINE_EXCEEDED : Refusal.TARGET_FAILED;
  }

  private void record(Result result) {
    boolean connectFailed =
        !sent
            && refusal == null
            && (result.getFailure() instanceof ConnectException
                || result.getFailure() instanceof UnresolvedAddressException);
    if (!sent && !connectFailed) {
      return;
    }
    long nowNanos = exchange.context.clock().nanoTime();
    if (refusal == Refusal.TARGET_SHED) {
      slot.target().recordShed(nowNanos);
      return;
    }
    if (callerDisconnected) {
      return;
    }
    boolean failed =
        result.isFailed()
            || result.getResponse().getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    long endNanos = responseStartNanos != 0 ? responseStartNanos : nowNanos;
    exchange.dataPath.targets().recordTargetOutcome(slot.service(), slot.target(), failed);
    if (!failed) {
      slot.service().recordLatency(nowNanos - startNanos);
    }
    exchange
        .context
        .releases()
        .record(
            slot.service().name(),
            exchange.matchedRoute().name(),
            target.version(),
            failed,
            endNanos - startNanos);
  }

  private void closeIdleConnections() {
    int closedCount = exchange.dataPath.client().closeIdle(target.address(), target.port());
    if (closedCount > 0) {
      exchange.context.events().log(GatewayEvent.TARGET_TIMED_OUT, target.id(), closedCount);
    }
  }
}
