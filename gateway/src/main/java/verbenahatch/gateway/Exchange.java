package verbenahatch.gateway;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.fleet.KeyCheck;
import verbenahatch.gateway.submission.Claim;
import verbenahatch.gateway.submission.ClaimResult;
import verbenahatch.gateway.submission.Settlement;
import verbenahatch.http.CallerWatch;
import verbenahatch.limits.Admission;
import verbenahatch.model.EnvironmentDocument;
import verbenahatch.model.EnvironmentDocument.Access;
import verbenahatch.model.EnvironmentDocument.Route;
import verbenahatch.model.EnvironmentDocument.Service;

/**
 * Processes one request of a caller, from its arrival to the end of the response.
 *
 * <p>Steps: match the route, check the key, admit against the limits of the workspace, choose a
 * version, acquire a slot in a region and at a target, check key and deadline again, forward. Each
 * step runs on the thread that completes the one before; no step blocks.
 */
final class Exchange implements SlotSearch.Listener {

  /** Maximum number of attempts per request, including the first. */
  private static final int MAX_ATTEMPTS = 3;

  /**
   * Slots become free within the time of a few requests; one second spreads the retries of callers.
   */
  private static final long NO_CAPACITY_RETRY_MILLIS = 1_000;

  final DataPath dataPath;
  final GatewayContext context;
  final Request request;
  final Response response;
  private final Callback callback;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final AtomicReference<@Nullable Attempt> currentAttempt = new AtomicReference<>();
  private final AtomicReference<@Nullable CallerWatch> callerWatch = new AtomicReference<>();
  private final Set<String> triedTargets = new HashSet<>();
  private volatile boolean callerDisconnected;
  private int attempts;

  /**
   * The first refusal of an attempt that may have run; a later refusal must not report that the
   * request did not run.
   */
  private @Nullable Refusal firstUncertainRefusal;

  private @Nullable Refusal lastAttemptRefusal;

  private @Nullable String key;
  private @Nullable String workspace;
  private @Nullable String keyHash;
  private @Nullable Route route;
  private @Nullable ServiceTargets service;
  private String version = "";
  private long deadlineNanos;
  private @Nullable CallerContent content;
  private Submissions.@Nullable Submission submission;
  private volatile @Nullable Claim claim;
  private int earlierRunStatus;

  Exchange(DataPath dataPath, Request request, Response response, Callback callback) {
    this.dataPath = dataPath;
    this.context = dataPath.context();
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  void start() {
    request.addFailureListener(this::onCallerDisconnected);
    EnvironmentDocument document = context.config().document().orElse(null);
    if (document == null) {
      refuse(Refusal.NO_CONFIGURATION);
      return;
    }
    String canonicalPath = request.getHttpURI().getCanonicalPath();
    RouteTable.Match match = dataPath.routes().match(request.getMethod(), canonicalPath);
    if (match instanceof RouteTable.Match.Found matched) {
      route = matched.route();
      handleMatch(document, matched.route(), canonicalPath);
    } else if (match instanceof RouteTable.Match.OtherMethod) {
      refuse(Refusal.METHOD_NOT_ALLOWED);
    } else {
      refuse(Refusal.NO_ROUTE);
    }
  }

  private void handleMatch(EnvironmentDocument document, Route matched, String canonicalPath) {
    KeyStripper.Presented presented = KeyStripper.find(request.getHeaders());
    if (!(presented instanceof KeyStripper.Presented.Key presentedKey)) {
      refuse(Refusal.KEY_AMBIGUOUS);
      return;
    }
    key = presentedKey.key();
    if (KeyStripper.containsKey(canonicalPath, key)) {
      refuse(Refusal.KEY_IN_PATH);
      return;
    }
    Long requestTimeoutMillis =
        Deadlines.requestTimeoutMillis(request.getHeaders(), matched.timeoutMillis());
    if (requestTimeoutMillis == null) {
      refuse(Refusal.BAD_REQUEST);
      return;
    }
    if (!Submissions.hasValidHeaders(request.getHeaders())) {
      refuse(Refusal.BAD_REQUEST);
      return;
    }
    // An idempotent request needs no claim, because running it twice is harmless.
    submission = matched.idempotent() ? null : Submissions.parse(request.getHeaders());
    if (requestTimeoutMillis <= 0) {
      refuse(Refusal.DEADLINE_UNREACHABLE);
      return;
    }
    deadlineNanos =
        context.clock().nanoTime() + TimeUnit.MILLISECONDS.toNanos(requestTimeoutMillis);
    if (matched.access() == Access.OPEN) {
      chooseVersion(document, matched);
    } else {
      checkKey(document, matched);
    }
  }

  private void checkKey(EnvironmentDocument document, Route matched) {
    if (key == null || key.isEmpty()) {
      refuse(Refusal.KEY_MISSING);
      return;
    }
    KeyCheck check = context.keys().check(key);
    if (!(check instanceof KeyCheck.Valid valid)) {
      refuse(refusalOf(check));
      return;
    }
    workspace = valid.workspace();
    keyHash = valid.keyHash();
    context
        .limits()
        .admit(valid.workspace(), deadlineNanos)
        .thenAccept(admission -> onAdmission(document, matched, admission))
        .exceptionally(this::refuseInternalError);
  }

  static Refusal refusalOf(KeyCheck check) {
    if (check instanceof KeyCheck.NotFresh) {
      return Refusal.HOST_NOT_FRESH;
    }
    return check instanceof KeyCheck.Withdrawn ? Refusal.KEY_WITHDRAWN : Refusal.KEY_UNKNOWN;
  }

  private void onAdmission(EnvironmentDocument document, Route matched, Admission admission) {
    if (admission instanceof Admission.Admitted) {
      chooseVersion(document, matched);
    } else if (admission instanceof Admission.OverLimit over) {
      refuse(Refusal.OVER_LIMIT, over.retryAfterMillis());
    } else if (admission instanceof Admission.NotFresh) {
      refuse(Refusal.HOST_NOT_FRESH);
    } else {
      refuse(Refusal.WORKSPACE_UNKNOWN);
    }
  }

  private void chooseVersion(EnvironmentDocument document, Route matched) {
    ServiceTargets targets = dataPath.targets().service(matched.service());
    for (Service declared : document.services()) {
      if (targets != null && declared.name().equals(matched.service())) {
        double draw = ThreadLocalRandom.current().nextDouble();
        version = context.releases().chooseVersion(declared.name(), declared.version(), draw);
        service = targets;
        prepareContent();
        findSlot();
        return;
      }
    }
    refuse(Refusal.NO_TARGET);
  }

  private void prepareContent() {
    long length = request.getLength();
    boolean chunked = request.getHeaders().contains("Transfer-Encoding");
    boolean http2 = request.getConnectionMetaData().getHttpVersion().getVersion() >= 20;
    Content.Chunk firstChunk = null;
    if (length < 0 && http2) {
      firstChunk = request.read();
      if (firstChunk != null && firstChunk.isLast() && !firstChunk.hasRemaining()) {
        return;
      }
    } else if (length == 0 || (length < 0 && !chunked)) {
      watchCaller();
      return;
    }
    content = new CallerContent(request, length, firstChunk, key, this::watchCaller);
  }

  private void watchCaller() {
    callerWatch.set(CallerWatch.begin(request, this::onCallerDisconnected));
  }

  private void settle(Outcome outcome, int status) {
    Claim currentClaim = claim;
    if (currentClaim != null) {
      currentClaim.settle(Settlement.valueOf(outcome.name()), status);
    }
  }

  private void endWatch() {
    CallerWatch activeWatch = callerWatch.getAndSet(null);
    if (activeWatch != null) {
      activeWatch.end();
    }
  }

  private void findSlot() {
    String queueWorkspace = workspace == null ? "" : workspace;
    boolean openRoute = matchedRoute().access() == Access.OPEN;
    new SlotSearch(
            dataPath,
            service(),
            version,
            queueWorkspace,
            triedTargets,
            deadlineNanos,
            openRoute,
            this)
        .begin();
  }

  @Override
  public void slotAcquired(Slot slot) {
    Submissions.Submission submitted = submission;
    if (submitted == null || claim != null) {
      startAttempt(slot);
      return;
    }
    dataPath
        .submissions()
        .claim(submitted, workspace, deadlineNanos)
        .thenAccept(result -> onClaimResult(slot, result))
        .exceptionally(this::refuseInternalError);
  }

  private void onClaimResult(Slot slot, ClaimResult result) {
    if (result instanceof ClaimResult.Granted granted) {
      claim = granted.claim();
      if (callerDisconnected) {
        slot.release();
        refuse(Refusal.DEADLINE_UNREACHABLE);
        return;
      }
      startAttempt(slot);
      return;
    }
    slot.release();
    if (result instanceof ClaimResult.AlreadyRun ran && ran.status() > 0) {
      earlierRunStatus = ran.status();
    }
    refuse(Submissions.refusalOf(result));
  }

  private void startAttempt(Slot slot) {
    attempts++;
    triedTargets.add(slot.target().target().id());
    Attempt next = new Attempt(this, slot);
    currentAttempt.set(next);
    next.start();
    if (callerDisconnected) {
      next.cancel(new IllegalStateException("caller has disconnected"));
    }
  }

  @Override
  public void slotRefused(Refusal refusal) {
    Refusal failure = lastAttemptRefusal;
    if (failure != null) {
      refuse(failure);
    } else {
      refuse(refusal, refusal == Refusal.NO_CAPACITY ? NO_CAPACITY_RETRY_MILLIS : 0);
    }
  }

  @Override
  public boolean isCancelled() {
    return callerDisconnected;
  }

  /**
   * Checks deadline, drain, claim, freshness and key immediately before the first byte is sent.
   *
   * @return why the request must not be sent, null if it may be
   */
  @Nullable Refusal checkBeforeSend() {
    if (callerDisconnected || context.clock().nanoTime() - deadlineNanos >= 0) {
      return Refusal.DEADLINE_UNREACHABLE;
    }
    if (!dataPath.mayBegin(deadlineNanos)) {
      return Refusal.HOST_STOPPING;
    }
    Claim currentClaim = claim;
    if (currentClaim != null && !currentClaim.isHeld(context.clock().nanoTime())) {
      return Refusal.DEADLINE_UNREACHABLE;
    }
    String hash = keyHash;
    if (hash == null) {
      return null;
    }
    if (context.fleet().remainingFreshnessNanos() <= 0) {
      return Refusal.HOST_NOT_FRESH;
    }
    KeyCheck check = context.keys().recheck(hash);
    return check instanceof KeyCheck.Valid ? null : refusalOf(check);
  }

  /**
   * Retries after a failed attempt, or refuses the request.
   *
   * @param refusal the refusal to write if there is no further attempt
   * @param sent whether a byte may have been sent, false if the target certainly did not run the
   *     request
   * @param bodyReadStarted whether reading the body from the caller has begun
   */
  void attemptFailed(Refusal refusal, boolean sent, boolean bodyReadStarted) {
    if (refusal.outcome() == Outcome.UNKNOWN && firstUncertainRefusal == null) {
      firstUncertainRefusal = refusal;
    }
    lastAttemptRefusal = refusal;
    boolean retryAllowed =
        (!sent || matchedRoute().idempotent()) && !bodyReadStarted && attempts < MAX_ATTEMPTS;
    boolean retryableRefusal =
        refusal == Refusal.TARGET_FAILED
            || refusal == Refusal.TARGET_UNREACHABLE
            || refusal == Refusal.TARGET_SHED
            || refusal == Refusal.ANSWER_MISMATCHED
            || refusal == Refusal.DEADLINE_EXCEEDED;
    if (retryAllowed && retryableRefusal && !callerDisconnected && dataPath.retries().tryRetry()) {
      discardResponse();
      findSlot();
      return;
    }
    refuse(refusal);
  }

  /** Removes what a failed attempt has set in the response, of which nothing is written yet. */
  private void discardResponse() {
    String close = HttpHeaderValue.CLOSE.asString();
    boolean closes = response.getHeaders().contains(HttpHeader.CONNECTION, close);
    response.reset();
    if (closes) {
      response.getHeaders().put(HttpHeader.CONNECTION, close);
    }
  }

  private void onCallerDisconnected(Throwable cause) {
    callerDisconnected = true;
    Attempt current = currentAttempt.get();
    if (current != null) {
      current.cancel(cause);
    }
  }

  boolean isRetry() {
    return attempts > 1;
  }

  Route matchedRoute() {
    Route matched = route;
    if (matched == null) {
      throw new IllegalStateException("route not matched yet");
    }
    return matched;
  }

  private ServiceTargets service() {
    ServiceTargets current = service;
    if (current == null) {
      throw new IllegalStateException("service not chosen yet");
    }
    return current;
  }

  @Nullable String key() {
    return key;
  }

  Submissions.@Nullable Submission submission() {
    return submission;
  }

  @Nullable String workspace() {
    return workspace;
  }

  @Nullable CallerContent content() {
    return content;
  }

  long remainingMillis() {
    return TimeUnit.NANOSECONDS.toMillis(deadlineNanos - context.clock().nanoTime());
  }

  /** Ends the exchange with a refusal in place of a response of a target. */
  void refuse(Refusal refusal) {
    refuse(refusal, 0);
  }

  private void refuse(Refusal reason, long retryAfterMillis) {
    Refusal uncertain = firstUncertainRefusal;
    boolean hidesUncertainty = uncertain != null && reason.outcome() == Outcome.NOT_RUN;
    Refusal refusal = hidesUncertainty ? Objects.requireNonNull(uncertain) : reason;
    if (finished.compareAndSet(false, true)) {
      endWatch();
      dataPath.countRefusal(matchedRouteOrNull(), refusal);
      settle(refusal.outcome(), 0);
      RefusalWriter.write(
          response,
          dataPath.countingCompletion(callback),
          refusal,
          retryAfterMillis,
          earlierRunStatus);
    }
  }

  private @Nullable Route matchedRouteOrNull() {
    return route;
  }

  /** Ends the exchange after a complete response. */
  void finish() {
    if (finished.compareAndSet(false, true)) {
      endWatch();
      settle(Outcome.RUN, response.getStatus());
      dataPath.countingCompletion(callback).succeeded();
    }
  }

  /** Aborts the response to the caller after it was partly written. */
  void abortResponse(Throwable cause) {
    if (finished.compareAndSet(false, true)) {
      endWatch();
      settle(Outcome.UNKNOWN, 0);
      dataPath.countingCompletion(callback).failed(cause);
    }
  }

  private @Nullable Void refuseInternalError(Throwable failure) {
    context.events().log(GatewayEvent.REQUEST_FAILED, KeyStripper.mask(failure.toString()));
    refuse(Refusal.INTERNAL);
    return null;
  }
}
