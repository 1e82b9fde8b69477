package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import verbenahatch.kernel.Hashing;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.TargetAttempt.Completion;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.TargetSelector.Criteria;
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

  /** With less remaining time than this, a retry is not worthwhile. */
  private static final long MIN_RETRY_MILLIS = 100;

  /** A response slower than this multiple of the cold time counts as failed for its version. */
  private static final double SLOW_VERSION_FACTOR = 2.5;

  private final EntryContext context;
  private final CallerChannel channel;
  private final Request request;
  private final CallerRequest caller;
  private final long startNanos;
  private final Set<Target> attempted = new HashSet<>();
  private @Nullable DocumentIndex document;
  private @Nullable SteeringRoute route;
  private @Nullable SteeringWorkspace workspace;
  private @Nullable ServiceTargets service;
  private VersionRule versionRule = VersionRule.ANY;
  private byte @Nullable [] body;
  private long deadlineNanos;
  private int attempts;
  private int deliveredAttempts;
  private long objectHash;
  private long backOffMillis;
  private volatile boolean callerDisconnected;
  private volatile boolean mayHaveRun;
  private volatile @Nullable TargetAttempt currentAttempt;
  private final InFlightAttempts inFlightAttempts = new InFlightAttempts();
  private RefusalReason lastFailure = RefusalReason.NO_CAPACITY;
  private String lastReason = "";

  EntryExchange(EntryContext context, Request request, Response response, Callback callback) {
    this.context = context;
    this.channel = new CallerChannel(context, request, response, callback);
    this.request = request;
    this.startNanos = context.state.clock.nanoTime();
    this.caller = context.wire.readRequest(request.getHeaders());
  }

  void start() {
    DocumentIndex index = context.state.document();
    document = index;
    StopPlan plan = context.stopPlan;
    if (plan != null && !plan.accepts(startNanos, 0)) {
      refuse(RefusalReason.STOPPING, "stopping");
      return;
    }
    if (index == null || !context.state.hasReadAllFeeds()) {
      refuse(RefusalReason.NO_DOCUMENT, "not all objects of the store were read yet");
      return;
    }
    String path = request.getHttpURI().getPath();
    String host = request.getHttpURI().getHost();
    if (path == null || host == null || caller.id() == null) {
      refuse(RefusalReason.BAD_REQUEST, "no host, path or request id");
      return;
    }
    SteeringRoute matchedRoute = matchRoute(index);
    route = matchedRoute;
    if (matchedRoute == null) {
      refuse(RefusalReason.NO_ROUTE, host + path);
      return;
    }
    long millis = matchedRoute.timeoutMillis();
    if (caller.waitMillis() >= 0) {
      millis = Math.min(millis, caller.waitMillis());
    }
    deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    if (plan != null && !plan.accepts(startNanos, millis)) {
      refuse(RefusalReason.STOPPING, "the request may not end before the process does");
      return;
    }
    new CallerAdmission(context, request, this).start(index, matchedRoute, caller.key());
  }

  @Override
  public void onWorkspace(SteeringWorkspace keyWorkspace) {
    workspace = keyWorkspace;
  }

  @Override
  public void onAdmitted(DocumentIndex index) {
    channel.readBody(index.document.limits().maxBodyBytes(), this::onBody, this::refuse);
  }

  @Override
  public void onRefused(RefusalReason refusal, String reason) {
    refuse(refusal, reason);
  }

  private void onBody(byte @Nullable [] bytes) {
    body = bytes;
    channel.watch(this::onCallerDisconnected, this::onDeadline, remainingMillis());
    dispatch();
  }

  private void onCallerDisconnected(Throwable cause) {
    callerDisconnected = true;
    inFlightAttempts.abortOnDisconnect(
        route != null && route.idempotent(), "the caller disconnected");
  }

  private synchronized void onDeadline() {
    refuse(RefusalReason.EXPIRED, RefusalReason.TIMED_OUT, "the deadline passed");
    inFlightAttempts.abortOthers(null, "the deadline passed");
  }

  private SteeringRoute requireRoute() {
    SteeringRoute current = route;
    if (current == null) {
      throw new IllegalStateException("no route yet");
    }
    return current;
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
    if (!isStillAllowed()) {
      return;
    }
    SteeringRoute matchedRoute = requireRoute();
    DocumentIndex index = document;
    if (index == null) {
      throw new IllegalStateException("no document yet");
    }
    ServiceTargets targets = service;
    if (targets == null) {
      targets = context.state.targets.service(index.nextService(matchedRoute));
      service = targets;
      versionRule = context.state.releases.nextVersionRule(targets.name);
      context.retryBudget(targets.name).onRequest();
    }
    Outcome outcome = choose(index, matchedRoute, targets);
    if (outcome instanceof Choice choice) {
      send(choice);
      return;
    }
    VersionRule fallback = context.state.releases.fallbackRule(targets.name, versionRule);
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

  /**
   * Checks the request again if a newer document came into force while it waited for its body, its
   * admission or another attempt; refuses it if the document no longer allows it.
   */
  private boolean isStillAllowed() {
    DocumentIndex current = context.state.document();
    if (current == null || current == document) {
      return true;
    }
    SteeringRoute currentRoute = matchRoute(current);
    if (currentRoute == null) {
      refuse(RefusalReason.NO_ROUTE, "the route was removed while the request waited");
      return false;
    }
    String key = caller.key();
    if (!CallerAdmission.isKeyValid(current, currentRoute, key)) {
      refuse(RefusalReason.BAD_KEY, "the key was withdrawn while the request waited");
      return false;
    }
    document = current;
    route = currentRoute;
    workspace = key == null || currentRoute.open() ? null : current.workspace(key);
    return true;
  }

  private @Nullable SteeringRoute matchRoute(DocumentIndex index) {
    String path = request.getHttpURI().getPath();
    String host = request.getHttpURI().getHost();
    return path == null || host == null ? null : index.route(host.toLowerCase(Locale.ROOT), path);
  }

  private Outcome choose(DocumentIndex index, SteeringRoute matchedRoute, ServiceTargets targets) {
    String objectKey = caller.objectKey();
    boolean namesObject = objectKey != null;
    objectHash = Hashing.of(namesObject ? objectKey + targets.name : String.valueOf(caller.id()));
    byte[] bytes = body;
    Criteria criteria =
        new Criteria(
            targets,
            index.document.services().get(targets.name),
            objectHash,
            namesObject,
            context.state.settings.region(),
            RequestPolicy.allowedRegions(matchedRoute, workspace),
            bytes == null ? 0 : bytes.length,
            attempted,
            versionRule,
            matchedRoute.targetLatencyMillis() - elapsedMillis(),
            Math.min(RequestPolicy.maxLateWaitMillis(matchedRoute, workspace), remainingMillis()));
    return context.state.selector.choose(criteria);
  }

  private double elapsedMillis() {
    return (context.state.clock.nanoTime() - startNanos) / 1e6;
  }

  private void send(Choice choice) {
    SteeringRoute matchedRoute = requireRoute();
    long remaining = Math.max(1, remainingMillis());
    SteeringWorkspace keyWorkspace = workspace;
    TargetRequest protocolFields =
        new TargetRequest(
            remaining,
            choice.target().record().id(),
            keyWorkspace == null ? null : keyWorkspace.name());
    attempts++;
    attempted.add(choice.target());
    TargetAttempt.Message message =
        new TargetAttempt.Message(
            request.getMethod(),
            request.getHttpURI(),
            request.getHeaders(),
            body,
            String.valueOf(caller.id()),
            matchedRoute.idempotent(),
            protocolFields,
            remaining);
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
    long hedgeDelayMillis =
        RequestPolicy.hedgeDelayMillis(choice, matchedRoute, attempts, remaining);
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
    DocumentIndex index = document;
    if (obsolete || index == null || context.state.isLeaving() || !mayRetry()) {
      return;
    }
    Target target = slow.choice.target();
    target.recordFailure(context.state.clock.nanoTime());
    context.pool.closeIdle(target.record());
    Outcome outcome = choose(index, requireRoute(), requireService());
    if (outcome instanceof Choice choice && choice.waitMillis() <= 0) {
      boolean withinBudget = context.retryBudget(requireService().name).tryRetry();
      context
          .metrics
          .retries
          .labelValues(requireService().name, withinBudget ? "beside" : "left-out")
          .inc();
      if (withinBudget) {
        send(choice);
      }
    }
  }

  @Override
  public void answered(TargetAttempt attempt, int status, TargetResponse answer) {
    if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
      // Another target has taken over the address and speaks for itself only.
      return;
    }
    Target target = attempt.choice.target();
    if (answer.leaving()) {
      context.state.targets.markLeaving(target);
    }
    boolean pauses =
        status == HttpStatus.SERVICE_UNAVAILABLE_503
            && answer.backOffMillis() > 0
            && target.backOff(answer.backOffMillis(), context.state.clock.nanoTime());
    if (pauses) {
      context.state.events.log(
          SteeringEvent.TARGET_BACK_OFF, target.record().id(), answer.backOffMillis());
    }
  }

  @Override
  public synchronized void completed(TargetAttempt attempt, Completion completion) {
    inFlightAttempts.remove(attempt);
    Target target = attempt.choice.target();
    target.inFlight.decrementAndGet();
    if (completion instanceof Completion.Responded responded) {
      onResponse(attempt, target, responded);
    } else if (completion instanceof Completion.NotSent notSent) {
      onNotSent(attempt, target, notSent);
    } else if (completion instanceof Completion.Failed failed) {
      onFailed(attempt, target, failed);
    }
  }

  private void onResponse(TargetAttempt attempt, Target target, Completion.Responded completion) {
    long now = context.state.clock.nanoTime();
    target.recordLoad(completion.answer().load(), now);
    if (completion.answer().notRun() || completion.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
      boolean misdirected = completion.status() == HttpStatus.MISDIRECTED_REQUEST_421;
      count(misdirected ? "misdirected" : "rejected");
      if (misdirected) {
        // Another target has taken over the address; a registry update will follow.
        target.eject(now);
      } else {
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
    double millis = (now - attempt.startNanos) / 1e6;
    boolean failed = completion.status() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    ServiceTargets targets = requireService();
    boolean slow = millis > targets.times.coldMillis() * SLOW_VERSION_FACTOR;
    boolean countsAsBad = failed || (slow && !target.isCold(now));
    context.state.releases.record(
        targets.name, requireRoute().name(), target.record().version(), countsAsBad);
    count(failed ? "failed" : "served");
    if (failed) {
      target.recordFailure(now);
      boolean mayRetryFailure =
          requireRoute().idempotent() && !attempt.isStreaming() && !channel.isFinished();
      if (mayRetryFailure && (!inFlightAttempts.isEmpty() || mayRetry())) {
        lastFailure = RefusalReason.TARGET_FAILED;
        lastReason = "target responded with status " + completion.status();
        mayHaveRun = true;
        if (inFlightAttempts.isEmpty()) {
          retry(false);
        }
        return;
      }
    } else {
      if (caller.objectKey() != null) {
        target.recentObjects.add(objectHash);
      }
      double workMillis = Math.max(millis - attempt.choice.waitMillis(), millis * 0.2);
      CacheState cacheState = attempt.choice.cacheState();
      // Only a target that is known to have the object is slow if it takes longer than a warm one.
      double expectedMillis =
          cacheState == CacheState.WARM
              ? targets.times.warmMillis()
              : targets.times.nearestMillis(workMillis);
      target.recordSuccess(workMillis / Math.max(1, expectedMillis), now);
      // Requests that name no object, for example probes of a route, may do no work at all.
      if (!target.isCold(now) && caller.objectKey() != null) {
        targets.times.record(cacheState, workMillis);
      }
    }
    if (!requireRoute().idempotent() && guaranteesNotRun(completion.status())) {
      // The target did not state that the request has not run, but the status would tell that.
      mayHaveRun = true;
      refuse(RefusalReason.TARGET_FAILED, "target responded with status " + completion.status());
      return;
    }
    deliver(attempt, completion);
  }

  /** Returns whether callers take a status as the statement that the request did not run. */
  private static boolean guaranteesNotRun(int status) {
    return status == HttpStatus.SERVICE_UNAVAILABLE_503
        || status == HttpStatus.TOO_MANY_REQUESTS_429
        || status == HttpStatus.REQUEST_TIMEOUT_408;
  }

  private ServiceTargets requireService() {
    ServiceTargets current = service;
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

  private void onNotSent(TargetAttempt attempt, Target target, Completion.NotSent completion) {
    count("not-sent");
    if (!attempt.isAborted()) {
      eject(target, completion.reason());
    }
    retryOrRefuse(RefusalReason.NO_CAPACITY, completion.reason(), false, true);
  }

  private void onFailed(TargetAttempt attempt, Target target, Completion.Failed completion) {
    deliveredAttempts++;
    count(completion.timedOut() ? "timed-out" : "broken");
    if (!attempt.isAborted()) {
      long now = context.state.clock.nanoTime();
      context.state.releases.record(
          requireService().name, requireRoute().name(), target.record().version(), true);
      target.recordFailure(now);
      if (completion.timedOut()) {
        context.pool.closeIdle(target.record());
      }
    }
    if (inFlightAttempts.isStreamed(attempt)) {
      if (channel.finish()) {
        recordOutcome(0, "broken-off", completion.reason(), true);
        channel.abortResponse(completion.reason());
      }
      return;
    }
    mayHaveRun = true;
    boolean deadlinePassed = completion.timedOut() && remainingMillis() <= 0;
    RefusalReason refusal = deadlinePassed ? RefusalReason.TIMED_OUT : RefusalReason.TARGET_FAILED;
    retryOrRefuse(refusal, completion.reason(), true, false);
  }

  private void eject(Target target, String reason) {
    long millis = target.eject(context.state.clock.nanoTime());
    requireService().recordLoss(context.state.clock.nanoTime());
    if (millis > 0) {
      context.state.events.log(
          SteeringEvent.TARGET_EJECTED, target.record().id(), 1, millis, reason);
    }
  }

  private void count(String outcome) {
    context.metrics.attempts.labelValues(requireService().name, outcome).inc();
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
    boolean allowed = !attemptMayHaveRun || requireRoute().idempotent();
    if (allowed && mayRetry()) {
      retry(needsNoBudget);
      return;
    }
    refuse(refusal, reason);
  }

  private boolean mayRetry() {
    return attempts < Math.max(1, requireRoute().maxAttempts())
        && remainingMillis() > MIN_RETRY_MILLIS;
  }

  /** Retries the request at another target if the retry budget allows it; otherwise refuses it. */
  private void retry(boolean needsNoBudget) {
    String name = requireService().name;
    // A request that reached no target is no retry for the targets, so it needs no budget.
    boolean withinBudget =
        needsNoBudget && deliveredAttempts == 0 || context.retryBudget(name).tryRetry();
    context.metrics.retries.labelValues(name, withinBudget ? "sent" : "left-out").inc();
    if (withinBudget) {
      dispatch();
    } else {
      refuse(lastFailure, lastReason + ", retry budget is used up");
    }
  }

  @Override
  public synchronized boolean begin(TargetAttempt attempt, int status, HttpFields fields) {
    boolean promises = !requireRoute().idempotent() && guaranteesNotRun(status);
    if (promises || channel.isFinished() || !inFlightAttempts.startStreaming(attempt)) {
      return false;
    }
    inFlightAttempts.abortOthers(attempt, "another target responded");
    channel.beginStream(status, fields);
    return true;
  }

  @Override
  public void write(TargetAttempt attempt, ByteBuffer part, Runnable more) {
    channel.write(part, more, failure -> attempt.abort(failure.toString()));
  }

  /**
   * Refuses the request, as TARGET_FAILED if it may have run and the reason guarantees otherwise.
   */
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
      channel.abortResponse(reason);
    } else {
      recordOutcome(refusal.status(), refusal.name(), reason, true);
      channel.refuse(refusal, refusal.guaranteesNotRun() ? retryAfter() : null);
    }
  }

  private String retryAfter() {
    return RequestPolicy.retryAfterSeconds(
        route == null ? RequestPolicy.DEFAULT_REMAINING_MILLIS : remainingMillis(), backOffMillis);
  }

  private void finishWithoutResponse(String reason) {
    if (channel.finish()) {
      recordOutcome(0, "caller-left", reason, true);
      channel.endWithoutResponse();
    }
  }

  private void recordOutcome(int status, String outcome, String reason, boolean logged) {
    double millis = (context.state.clock.nanoTime() - startNanos) / 1e6;
    context.metrics.requests.labelValues(outcome).inc();
    context.metrics.requestSeconds.observe(millis / 1_000);
    if (!logged) {
      return;
    }
    SteeringRoute matchedRoute = route;
    SteeringWorkspace keyWorkspace = workspace;
    DocumentIndex index = document;
    TargetAttempt attempt = currentAttempt;
    context.requestLog.log(
        String.valueOf(caller.id()),
        matchedRoute == null ? "-" : matchedRoute.name(),
        keyWorkspace == null ? "-" : keyWorkspace.name(),
        outcome,
        status,
        attempts,
        attempt == null ? "-" : attempt.choice.target().record().id(),
        Math.round(millis),
        matchedRoute == null ? -1 : remainingMillis(),
        index == null ? 0 : index.document.version(),
        reason);
  }
}
