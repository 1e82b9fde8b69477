package verbenahatch.gateway;

import java.io.Serial;
import java.net.ConnectException;
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
import verbenahatch.model.EnvironmentDocument.Target;

/** Sends a request to one target and passes its answer on. */
final class Attempt {

  /** Part of the remaining time that the first attempt of an idempotent request may use. */
  private static final double FIRST_ATTEMPT_SHARE = 0.5;

  private final Exchange exchange;
  private final Place place;
  private final Target target;
  private final String requestId = UUID.randomUUID().toString();
  private final AtomicBoolean done = new AtomicBoolean();
  private volatile @Nullable Request upstream;
  private volatile @Nullable Refusal refusal;
  private volatile boolean sent;
  private volatile boolean answering;
  private volatile boolean callerGone;
  private volatile long firstByteNanos;
  private long startNanos;

  Attempt(Exchange exchange, Place place) {
    this.exchange = exchange;
    this.place = place;
    this.target = place.target().target();
  }

  /** Stops an attempt with a refusal of the gateway. */
  private static final class Refused extends RuntimeException {
    @Serial private static final long serialVersionUID = 1L;

    Refused(Refusal refusal) {
      super(refusal.code(), null, false, false);
    }
  }

  void start() {
    startNanos = exchange.context.clock().nanoTime();
    boolean idempotent = exchange.routeFound().idempotent();
    boolean own = !idempotent || exchange.isRetry();
    org.eclipse.jetty.server.Request caller = exchange.request;
    long remaining = Math.max(1, exchange.remainingMillis());
    boolean mayRetry = idempotent && !exchange.isRetry() && exchange.content() == null;
    long timeout = mayRetry ? Math.max(1, (long) (remaining * FIRST_ATTEMPT_SHARE)) : remaining;
    Request next =
        exchange
            .path
            .client()
            .client(own)
            .newRequest(target.address(), target.port())
            .method(caller.getMethod())
            .path(pathAndQuery(caller))
            .timeout(timeout, TimeUnit.MILLISECONDS)
            .headers(headers -> writeHeaders(caller, headers, own));
    CallerContent content = exchange.content();
    if (content != null) {
      next.body(new MeteredContent(content, place.out()));
      if (content.getLength() < 0) {
        next.trailersSupplier(content::trailers);
      }
    }
    upstream = next;
    next.onRequestBegin(this::beforeFirstByte)
        .onResponseContentSource(this::answer)
        .send(this::complete);
  }

  private String pathAndQuery(org.eclipse.jetty.server.Request caller) {
    String path = caller.getHttpURI().getCanonicalPath();
    String query = KeyStripper.stripQuery(caller.getHttpURI().getQuery(), exchange.key());
    return query == null ? path : path + '?' + query;
  }

  private void writeHeaders(
      org.eclipse.jetty.server.Request caller, HttpFields.Mutable headers, boolean own) {
    HeaderRules.copyRequest(caller.getHeaders(), headers, exchange.key());
    String authority = caller.getHttpURI().getAuthority();
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
    if (own) {
      headers.put(HttpHeader.CONNECTION, "close");
    }
  }

  private void beforeFirstByte(Request request) {
    Refusal found = exchange.lastCheck();
    if (found != null) {
      refusal = found;
      request.abort(new Refused(found));
      return;
    }
    sent = true;
  }

  private void answer(Response response, Content.Source source) {
    firstByteNanos = exchange.context.clock().nanoTime();
    LoadReports.fromAnswer(response.getHeaders(), place.target(), firstByteNanos);
    Refusal found = inspect(response);
    if (found != null) {
      refusal = found;
      response.abort(new Refused(found));
      return;
    }
    answering = true;
    org.eclipse.jetty.server.Response caller = exchange.response;
    caller.setStatus(response.getStatus());
    HeaderRules.copyResponse(response.getHeaders(), caller.getHeaders());
    caller.getHeaders().put(HeaderNames.OUTCOME, Outcome.RUN.text());
    if (response.getHeaders().contains(HttpHeader.TRAILER)) {
      caller.setTrailersSupplier(response::getTrailers);
    }
    long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
    place.service().answered(Math.max(0, length));
    Content.Source metered = new MeteredContent(source, place.back());
    Content.copy(metered, caller, Callback.from(() -> {}, failure -> cancel(failure)));
  }

  private @Nullable Refusal inspect(Response response) {
    HttpFields headers = response.getHeaders();
    String echoed = headers.get(HeaderNames.REQUEST_ID);
    if (echoed != null && !echoed.equals(requestId)) {
      exchange.context.events().log(GatewayEvent.ANSWER_MISMATCHED, target.id());
      return Refusal.ANSWER_MISMATCHED;
    }
    if (response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503
        && Outcome.NOT_RUN.text().equals(headers.get(HeaderNames.SHED))) {
      return Refusal.TARGET_SHED;
    }
    return isFramed(response) ? null : Refusal.TARGET_FAILED;
  }

  // An answer that ends with the connection cannot be told from a truncated one.
  private boolean isFramed(Response response) {
    HttpField length = response.getHeaders().getField(HttpHeader.CONTENT_LENGTH);
    return length != null
        || response.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)
        || HttpMethod.HEAD.is(exchange.request.getMethod())
        || response.getStatus() == HttpStatus.NO_CONTENT_204
        || response.getStatus() == HttpStatus.NOT_MODIFIED_304;
  }

  /** Stops the attempt because the caller is gone; its connection is closed. */
  void cancel(Throwable cause) {
    callerGone = true;
    Request current = upstream;
    if (current != null) {
      current.abort(cause);
    }
  }

  private void complete(Result result) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    record(result);
    place.release();
    if (result.isSucceeded()) {
      exchange.finish();
      return;
    }
    Throwable failure = result.getFailure();
    if (answering && exchange.response.isCommitted()) {
      exchange.breakOff(failure);
      return;
    }
    if (failure instanceof TimeoutException && sent) {
      closeIdleConnections();
    }
    exchange.attemptFailed(refusalFor(failure), sent && !certainlyNotRun(), bodyTouched());
  }

  private boolean certainlyNotRun() {
    return refusal == Refusal.TARGET_SHED && exchange.routeFound().idempotent();
  }

  private boolean bodyTouched() {
    CallerContent content = exchange.content();
    return content != null && content.isTouched();
  }

  private Refusal refusalFor(Throwable failure) {
    Refusal known = refusal;
    if (known != null) {
      return known;
    }
    if (!sent) {
      boolean late = failure instanceof TimeoutException && exchange.remainingMillis() <= 0;
      return late ? Refusal.DEADLINE_UNREACHABLE : Refusal.TARGET_UNREACHABLE;
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
    long now = exchange.context.clock().nanoTime();
    if (refusal == Refusal.TARGET_SHED) {
      place.target().recordShed(now);
      return;
    }
    if (callerGone) {
      return;
    }
    boolean failed =
        result.isFailed()
            || result.getResponse().getStatus() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    long end = firstByteNanos != 0 ? firstByteNanos : now;
    exchange.path.targets().outcome(place.service(), place.target(), failed);
    if (!failed) {
      place.service().took(now - startNanos);
    }
    exchange
        .context
        .releases()
        .record(
            place.service().name(),
            exchange.routeFound().name(),
            target.version(),
            failed,
            end - startNanos);
  }

  private void closeIdleConnections() {
    int closed = exchange.path.client().closeIdle(target.address(), target.port());
    if (closed > 0) {
      exchange.context.events().log(GatewayEvent.TARGET_SILENT, target.id(), closed);
    }
  }
}
