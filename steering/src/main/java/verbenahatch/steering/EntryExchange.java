package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.TimerDelay;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.TargetAttempt.Completion;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.TargetSelector.Outcome;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.WireProtocol.CallerRequest;
import verbenahatch.steering.model.WireProtocol.TargetRequest;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/**
 * Forwards one request of a caller to a target and returns the response.
 *
 * <p>Nothing blocks. A request that is not idempotent is retried only if it certainly did not run;
 * a refusal that guarantees this is sent only in that case.
 */
final class EntryExchange implements TargetAttempt.Listener, CallerAdmission.Listener {

  private static final String STOPPING_TEXT = "the request may not end before the process does";

  private final EntryContext context;
  final CallerChannel channel;
  private final Request request;
  final CallerRequest caller;
  final RequestScope scope;
  final long startNanos;
  private final RequestTargets requestTargets;
  private @Nullable AttemptRecorder recorder;
  private VersionRule versionRule = VersionRule.ANY;
  private byte @Nullable [] body;
  private long deadlineNanos;
  private int attempts;
  private int deliveredAttempts;
  private long backOffMillis;
  private volatile boolean callerDisconnected;
  private volatile boolean mayHaveRun;
  private volatile @Nullable TargetAttempt currentAttempt;
  final InFlightAttempts inFlightAttempts = new InFlightAttempts();
  private RefusalReason lastFailure = RefusalReason.NO_CAPACITY;
  private String lastReason = "";

  EntryExchange(EntryContext context, Request request, Response response, Callback callback) {
    this.context = context;
    this.channel = new CallerChannel(context, request, response, callback);
    this.request = request;
    this.startNanos = context.state.clock.nanoTime();
    this.caller = context.wire.readRequest(request.getHeaders());
    HttpURI uri = request.getHttpURI();
    this.scope =
        new RequestScope(uri.getHost(), uri.getPath(), caller.key(), context.state.document());
    this.requestTargets = new RequestTargets(context, scope, caller);
  }

  void start() {
    StopPlan plan = context.stopPlan();
    if (plan != null && !plan.accepts(startNanos, 0)) {
      refuse(RefusalReason.STOPPING, "stopping");
      return;
    }
    if (!scope.hasDocument() || !context.state.hasReadAllFeeds()) {
      refuse(RefusalReason.NO_DOCUMENT, "not all objects of the store were read yet");
      return;
    }
    if (!scope.hasAddress() || caller.id() == null) {
      refuse(RefusalReason.BAD_REQUEST, "no host, path or request id");
      return;
    }
    if (!scope.match()) {
      refuse(RefusalReason.NO_ROUTE, scope.address());
      return;
    }
    SteeringRoute route = scope.route();
    long allowedMillis = route.timeoutMillis();
    long millis =
        caller.waitMillis() >= 0 ? Math.min(allowedMillis, caller.waitMillis()) : allowedMillis;
    deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    if (plan != null && !plan.accepts(startNanos, millis)) {
      refuse(RefusalReason.STOPPING, STOPPING_TEXT);
      return;
    }
    new CallerAdmission(context, request, this).start(scope.document(), route, caller.key());
  }

  @Override
  public void onWorkspace(SteeringWorkspace keyWorkspace) {
    scope.setWorkspace(keyWorkspace);
  }

  @Override
  public void onAdmitted(DocumentIndex index) {
    if (!context.mayBegin(remainingMillis(), 0)) {
      refuse(RefusalReason.STOPPING, STOPPING_TEXT);
      return;
    }
    channel.readBody(index.document.limits().maxBodyBytes(), this::onBody, this::refuse);
  }

  @Override
  public void onRefused(RefusalReason refusal, String reason) {
    refuse(refusal, reason);
  }

  private void onBody(byte @Nullable [] bytes) {
    body = bytes;
    channel.watch(this::onCallerDisconnected, this::onDeadline, deadlineNanos);
    dispatch();
  }

  private void onCallerDisconnected(Throwable cause) {
    callerDisconnected = true;
    inFlightAttempts.abortOnDisconnect(
        scope.hasRoute() && scope.route().idempotent(), "the caller disconnected");
  }

  private synchronized void onDeadline() {
    refuse(RefusalReason.EXPIRED, RefusalReason.TIMED_OUT, "the deadline passed");
    inFlightAttempts.abortOthers(null, "the deadline passed");
  }

  private long remainingMillis() {
    return (deadlineNanos - context.state.clock.nanoTime()) / 1_000_000;
  }

  private void dispatch() {
    if (callerDisconnected) {
      finishWithoutResponse("the caller disconnected before the request was sent");
      return;
    }
    if (remainingMillis() <= 0) {
      refuse(RefusalReason.EXPIRED, "the deadline passed before the request was sent");
      return;
    }
    RefusalReason refusal = scope.refresh(context.state.document());
    if (refusal != null) {
      refuse(refusal, "the document changed while the request waited");
      return;
    }
    if (mayHaveRun && !scope.route().idempotent()) {
      refuse(lastFailure, lastReason + ", the document no longer allows to repeat it");
      return;
    }
    if (recorder == null) {
      String name = scope.document().nextService(scope.route());
      recorder = new AttemptRecorder(context, context.state.targets.service(name));
      versionRule = context.state.releases.nextVersionRule(name);
      context.retryBudget(name).onRequest();
    }
    Outcome outcome = choose();
    if (outcome instanceof Choice choice) {
      if (context.mayBegin(remainingMillis(), choice.expectedMillis())) {
        send(choice);
      } else {
        refuse(RefusalReason.STOPPING, STOPPING_TEXT + ". " + lastReason);
      }
      return;
    }
    VersionRule fallback =
        context.state.releases.fallbackRule(requireRecorder().targets.name, versionRule);
    if (fallback != versionRule) {
      versionRule = fallback;
      dispatch();
      return;
    }
    if (outcome instanceof Outcome.None none) {
      backOffMillis = none.backOffMillis();
    }
    refuse(lastFailure, outcome + lastReason);
  }

  @Override
  public boolean mayBegin(TargetAttempt attempt) {
    return context.mayBegin(remainingMillis(), attempt.choice.expectedMillis());
  }

  private Outcome choose() {
    byte[] bytes = body;
    return requestTargets.choose(
        requireRecorder().targets,
        versionRule,
        bytes == null ? 0 : bytes.length,
        elapsedMillis(),
        remainingMillis());
  }

  private double elapsedMillis() {
    return (context.state.clock.nanoTime() - startNanos) / 1e6;
  }

  private void send(Choice choice) {
    SteeringRoute route = scope.route();
    // Rounded down, so that the target does not work beyond the deadline.
    long remaining = Math.max(1, remainingMillis());
    SteeringWorkspace keyWorkspace = scope.workspace();
    TargetRequest protocolFields =
        new TargetRequest(
            remaining,
            choice.target().record().id(),
            keyWorkspace == null ? null : keyWorkspace.name());
    attempts++;
    requestTargets.exclude(choice.target());
    TargetAttempt.Message message =
        new TargetAttempt.Message(
            request.getMethod(),
            request.getHttpURI(),
            request.getHeaders(),
            body,
            String.valueOf(caller.id()),
            route.idempotent(),
            protocolFields,
            TimerDelay.millisUntil(deadlineNanos, context.state.clock.nanoTime()));
    TargetAttempt attempt =
        new TargetAttempt(
            context.pool, context.wire, choice, message, this, context.state.clock.nanoTime());
    choice.target().inFlight.incrementAndGet();
    choice.target().markUsed();
    currentAttempt = attempt;
    // The attempt is added before the check: a refusal first finishes the channel and then
    // withdraws what was added, so one of the two sees the other.
    inFlightAttempts.add(attempt);
    if (channel.isFinished()) {
      inFlightAttempts.remove(attempt);
      choice.target().inFlight.decrementAndGet();
      return;
    }
    attempt.send();
    long hedgeDelayMillis = RequestPolicy.hedgeDelayMillis(choice, route, attempts, remaining);
    if (hedgeDelayMillis > 0) {
      context.timer.schedule(() -> hedge(attempt), hedgeDelayMillis, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Sends a hedged request to another target while the first takes unusually long.
   *
   * <p>The slow attempt continues: aborting it would lose its work if the other target fails too.
   */
  private synchronized void hedge(TargetAttempt slow) {
    boolean obsolete =
        channel.isFinished()
            || callerDisconnected
            || currentAttempt != slow
            || !inFlightAttempts.isOpen(slow);
    if (obsolete || context.state.isLeaving() || !mayRetry()) {
      return;
    }
    Target target = slow.choice.target();
    target.recordFailure(context.state.clock.nanoTime());
    context.pool.closeIdle(target.record());
    Outcome outcome = choose();
    boolean available = outcome instanceof Choice choice && choice.waitMillis() <= 0;
    if (available && requireRecorder().tryRetry(false, "beside")) {
      send((Choice) outcome);
    }
  }

  @Override
  public void answered(TargetAttempt attempt, int status, TargetResponse answer) {
    requireRecorder().recordWishes(attempt.choice.target(), status, answer);
  }

  @Override
  public synchronized void completed(TargetAttempt attempt, Completion completion) {
    inFlightAttempts.remove(attempt);
    attempt.choice.target().inFlight.decrementAndGet();
    if (completion instanceof Completion.Responded responded) {
      onResponse(attempt, responded);
    } else if (completion instanceof Completion.NotSent notSent) {
      onNotSent(attempt, notSent);
    } else if (completion instanceof Completion.Failed failed) {
      onFailed(attempt, failed);
    }
  }

  private void onResponse(TargetAttempt attempt, Completion.Responded completion) {
    boolean misdirected = completion.status() == HttpStatus.MISDIRECTED_REQUEST_421;
    if (completion.answer().notRun() || misdirected) {
      requireRecorder().recordRejection(attempt, completion);
      if (!misdirected) {
        deliveredAttempts++;
      }
      retryOrRefuse(
          RefusalReason.REJECTED,
          "target responded with status " + completion.status(),
          false,
          misdirected);
      return;
    }
    deliveredAttempts++;
    double millis = requireRecorder().recordResponse(attempt, completion, scope.route().name());
    if (completion.status() < HttpStatus.INTERNAL_SERVER_ERROR_500) {
      requireRecorder()
          .recordSuccess(
              attempt,
              millis,
              scope.route().name(),
              caller.objectKey() != null,
              requestTargets.objectHash());
    } else if (retryFailedResponse(attempt, completion.status())) {
      return;
    }
    if (!scope.route().idempotent() && RefusalReason.guaranteesNotRun(completion.status())) {
      // The target did not state that the request has not run, but the status would tell that.
      mayHaveRun = true;
      refuse(RefusalReason.TARGET_FAILED, "target responded with status " + completion.status());
      return;
    }
    deliver(attempt, completion);
  }

  /** Waits for another attempt or starts one after a failure response, if the request allows it. */
  private boolean retryFailedResponse(TargetAttempt attempt, int status) {
    boolean mayRetryFailure =
        scope.route().idempotent() && !attempt.isStreaming() && !channel.isFinished();
    if (!mayRetryFailure
        || (inFlightAttempts.isEmpty()
            && !(mayRetry() && context.mayBegin(remainingMillis(), 0)))) {
      return false;
    }
    lastFailure = RefusalReason.TARGET_FAILED;
    lastReason = "target responded with status " + status;
    mayHaveRun = true;
    if (inFlightAttempts.isEmpty()) {
      retry(false);
    }
    return true;
  }

  private AttemptRecorder requireRecorder() {
    AttemptRecorder current = recorder;
    if (current == null) {
      throw new IllegalStateException("no service yet");
    }
    return current;
  }

  private void deliver(TargetAttempt attempt, Completion.Responded completion) {
    if (inFlightAttempts.isOtherStreamed(attempt) || !channel.finish()) {
      return;
    }
    inFlightAttempts.abortOthers(attempt, "another target responded");
    boolean servedAtFirstAttempt = completion.status() < 400 && attempts == 1;
    recordOutcome(
        completion.status(), servedAtFirstAttempt ? "served" : "passed", "", !servedAtFirstAttempt);
    if (attempt.isStreaming()) {
      channel.complete();
    } else {
      channel.deliver(completion.status(), completion.fields(), completion.body());
    }
  }

  private void onNotSent(TargetAttempt attempt, Completion.NotSent completion) {
    requireRecorder().recordNotSent(attempt, completion.reason());
    retryOrRefuse(RefusalReason.NO_CAPACITY, completion.reason(), false, true);
  }

  private void onFailed(TargetAttempt attempt, Completion.Failed completion) {
    deliveredAttempts++;
    requireRecorder().recordFailure(attempt, completion, scope.route().name());
    if (inFlightAttempts.isStreamed(attempt)) {
      if (channel.finish()) {
        recordOutcome(0, "broken-off", completion.reason(), true);
        channel.abortResponse(String.valueOf(caller.id()), completion.reason());
      }
      return;
    }
    mayHaveRun = true;
    boolean deadlinePassed = completion.timedOut() && remainingMillis() <= 0;
    RefusalReason refusal = deadlinePassed ? RefusalReason.TIMED_OUT : RefusalReason.TARGET_FAILED;
    retryOrRefuse(refusal, completion.reason(), true, false);
  }

  private void retryOrRefuse(
      RefusalReason refusal, String reason, boolean attemptMayHaveRun, boolean needsNoBudget) {
    lastFailure = refusal;
    lastReason = reason;
    if (channel.isFinished() || !inFlightAttempts.isEmpty()) {
      return;
    }
    if (callerDisconnected) {
      finishWithoutResponse(reason);
      return;
    }
    boolean allowed = !attemptMayHaveRun || scope.route().idempotent();
    if (allowed && mayRetry()) {
      retry(needsNoBudget);
      return;
    }
    refuse(refusal, reason);
  }

  private boolean mayRetry() {
    return RequestPolicy.mayRetry(scope.route(), attempts, remainingMillis());
  }

  /** Retries the request at another target if the retry budget allows it; otherwise refuses it. */
  private void retry(boolean needsNoBudget) {
    // A request that reached no target is no retry for the targets, so it needs no budget.
    boolean free = needsNoBudget && deliveredAttempts == 0;
    if (requireRecorder().tryRetry(free, "sent")) {
      dispatch();
    } else {
      refuse(lastFailure, lastReason + ", retry budget is used up");
    }
  }

  @Override
  public synchronized boolean begin(TargetAttempt attempt, int status, HttpFields fields) {
    boolean promises = !scope.route().idempotent() && RefusalReason.guaranteesNotRun(status);
    if (promises || channel.isFinished() || !inFlightAttempts.startStreaming(attempt)) {
      return false;
    }
    inFlightAttempts.abortOthers(attempt, "another target responded");
    if (!channel.beginStream(attempt.choice.target().record().id(), status, fields)) {
      refuse(RefusalReason.TARGET_FAILED, "the response has no end that its caller can recognize");
      return false;
    }
    return true;
  }

  @Override
  public void write(TargetAttempt attempt, ByteBuffer part, Runnable more) {
    channel.write(part, more, failure -> attempt.abort(failure.toString()));
  }

  /** Refuses the request, as TARGET_FAILED if it may have run and the reason tells otherwise. */
  private void refuse(RefusalReason requested, String reason) {
    refuse(requested, RefusalReason.TARGET_FAILED, reason);
  }

  /**
   * Refuses the request.
   *
   * <p>A response that is being streamed is broken off instead: text added to it would make it look
   * complete.
   *
   * @param requested the reason
   * @param ifMayHaveRun the reason to give instead if the requested one guarantees that the request
   *     did not run but an attempt may have reached its target
   * @param reason the reason in words, for the log
   */
  private void refuse(RefusalReason requested, RefusalReason ifMayHaveRun, String reason) {
    if (!channel.finish()) {
      return;
    }
    boolean reachesTarget = mayHaveRun || !inFlightAttempts.withdrawAll();
    RefusalReason refusal =
        requested.guaranteesNotRun() && reachesTarget ? ifMayHaveRun : requested;
    if (channel.isStreaming()) {
      recordOutcome(0, "broken-off", reason, true);
      channel.abortResponse(String.valueOf(caller.id()), reason);
    } else {
      recordOutcome(refusal.status(), refusal.name(), reason, true);
      channel.refuse(refusal, refusal.guaranteesNotRun() ? retryAfter() : null);
    }
  }

  private String retryAfter() {
    return RequestPolicy.retryAfterSeconds(
        scope.hasRoute() ? remainingMillis() : RequestPolicy.DEFAULT_REMAINING_MILLIS,
        backOffMillis);
  }

  private void finishWithoutResponse(String reason) {
    if (channel.finish()) {
      recordOutcome(0, "caller-left", reason, true);
      channel.endWithoutResponse();
    }
  }

  private void recordOutcome(int status, String outcome, String reason, boolean logged) {
    double millis = elapsedMillis();
    context.metrics.recordRequest(outcome, millis);
    if (logged) {
      long remaining = scope.hasRoute() ? remainingMillis() : -1;
      scope.logOutcome(
          context.requestLog,
          new RequestScope.Outcome(String.valueOf(caller.id()), outcome, status, reason),
          new RequestScope.Effort(attempts, currentAttempt, Math.round(millis), remaining));
    }
  }
}
