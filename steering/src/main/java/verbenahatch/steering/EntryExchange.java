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
import verbenahatch.steering.TargetCall.End;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.TargetSelector.Need;
import verbenahatch.steering.TargetSelector.Outcome;
import verbenahatch.steering.model.SteeringDocument.SteeringRoute;
import verbenahatch.steering.model.SteeringDocument.SteeringWorkspace;
import verbenahatch.steering.model.WireProtocol.CallerRequest;
import verbenahatch.steering.model.WireProtocol.TargetRequest;

/**
 * Takes one request from the caller to a target and back.
 *
 * <p>Nothing blocks. A request that may run once only is repeated only if it certainly did not run;
 * a refusal that promises this is given only in that case.
 */
final class EntryExchange implements TargetCall.Listener, CallerAdmission.Listener {

  /** An answer below this part of the remaining time is not worth a repeat. */
  private static final long MIN_REPEAT_MILLIS = 100;

  /** An answer of a new version that takes this many times as long as usual counts as failed. */
  private static final double SLOW_VERSION_FACTOR = 2.5;

  private final EntryContext context;
  private final CallerSide side;
  private final Request request;
  private final CallerRequest caller;
  private final long startNanos;
  private final Set<Target> tried = new HashSet<>();
  private @Nullable DocumentIndex document;
  private @Nullable SteeringRoute route;
  private @Nullable SteeringWorkspace workspace;
  private @Nullable ServiceTargets service;
  private VersionRule rule = VersionRule.ANY;
  private byte @Nullable [] body;
  private long deadlineNanos;
  private int attempts;
  private int arrivals;
  private long objectHash;
  private volatile boolean callerGone;
  private volatile boolean mayHaveRun;
  private volatile @Nullable TargetCall current;
  private final RunningCalls running = new RunningCalls();
  private RefusalReason lastFailure = RefusalReason.NO_CAPACITY;
  private String lastReason = "";

  EntryExchange(EntryContext context, Request request, Response response, Callback callback) {
    this.context = context;
    this.side = new CallerSide(context, request, response, callback);
    this.request = request;
    this.startNanos = context.state.clock.nanoTime();
    this.caller = context.wire.readRequest(request.getHeaders());
  }

  void start() {
    DocumentIndex index = context.state.document();
    document = index;
    if (context.refusing) {
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
    SteeringRoute found = index.route(host.toLowerCase(Locale.ROOT), path);
    route = found;
    if (found == null) {
      refuse(RefusalReason.NO_ROUTE, host + path);
      return;
    }
    long millis = found.timeoutMillis();
    if (caller.waitMillis() >= 0) {
      millis = Math.min(millis, caller.waitMillis());
    }
    deadlineNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    new CallerAdmission(context, request, this).start(index, found, caller.key());
  }

  @Override
  public void holder(SteeringWorkspace holder) {
    workspace = holder;
  }

  @Override
  public void admitted(DocumentIndex index) {
    side.readBody(index.document.limits().maxBodyBytes(), this::bodyRead, this::refuse);
  }

  @Override
  public void refused(RefusalReason refusal, String reason) {
    refuse(refusal, reason);
  }

  private void bodyRead(byte @Nullable [] bytes) {
    body = bytes;
    side.watch(this::callerLeft, this::expire, remainingMillis());
    place();
  }

  private void callerLeft(Throwable cause) {
    callerGone = true;
    running.abandon(route != null && route.idempotent(), "the caller left");
  }

  private void expire() {
    TargetCall call = current;
    boolean sent = mayHaveRun || (call != null && call.isSent());
    refuse(sent ? RefusalReason.TIMED_OUT : RefusalReason.EXPIRED, "time is over");
    running.abortOthers(null, "time is over");
  }

  private SteeringRoute found() {
    SteeringRoute known = route;
    if (known == null) {
      throw new IllegalStateException("no route yet");
    }
    return known;
  }

  private long remainingMillis() {
    return (deadlineNanos - context.state.clock.nanoTime()) / 1_000_000;
  }

  private void place() {
    if (callerGone) {
      finishSilently("caller left before the request was sent");
      return;
    }
    SteeringRoute found = found();
    DocumentIndex index = document;
    if (index == null) {
      throw new IllegalStateException("no document yet");
    }
    ServiceTargets targets = service;
    if (targets == null) {
      targets = context.state.targets.service(index.nextService(found));
      service = targets;
      rule = context.state.releases.nextVersionRule(targets.name);
      context.budget(targets.name).onRequest();
    }
    Outcome outcome = choose(index, found, targets);
    if (outcome instanceof Choice choice) {
      send(choice);
      return;
    }
    VersionRule other = context.state.releases.fallbackRule(targets.name, rule);
    if (other != rule) {
      rule = other;
      place();
      return;
    }
    refuse(lastFailure, outcome + lastReason);
  }

  private Outcome choose(DocumentIndex index, SteeringRoute found, ServiceTargets targets) {
    String objectKey = caller.objectKey();
    boolean named = objectKey != null;
    objectHash = Hashing.of(named ? objectKey + targets.name : String.valueOf(caller.id()));
    byte[] bytes = body;
    Need need =
        new Need(
            targets,
            index.document.services().get(targets.name),
            objectHash,
            named,
            context.state.settings.region(),
            RequestPolicy.homes(found, workspace),
            bytes == null ? 0 : bytes.length,
            tried,
            rule,
            found.targetLatencyMillis() - elapsedMillis(),
            Math.min(RequestPolicy.longestWaitMillis(found, workspace), remainingMillis()));
    return context.state.selector.choose(need);
  }

  private double elapsedMillis() {
    return (context.state.clock.nanoTime() - startNanos) / 1e6;
  }

  private void send(Choice choice) {
    SteeringRoute found = found();
    long remaining = Math.max(1, remainingMillis());
    SteeringWorkspace holder = workspace;
    TargetRequest addition =
        new TargetRequest(
            remaining, choice.target().record().id(), holder == null ? null : holder.name());
    attempts++;
    tried.add(choice.target());
    TargetCall.Message message =
        new TargetCall.Message(
            request.getMethod(),
            request.getHttpURI(),
            request.getHeaders(),
            body,
            String.valueOf(caller.id()),
            found.idempotent(),
            addition,
            remaining);
    TargetCall call =
        new TargetCall(
            context.pool, context.wire, choice, message, this, context.state.clock.nanoTime());
    choice.target().inFlight.incrementAndGet();
    choice.target().markUsed();
    current = call;
    if (side.isFinished()) {
      choice.target().inFlight.decrementAndGet();
      return;
    }
    running.add(call);
    call.send();
    long patience = RequestPolicy.patienceMillis(choice, found, attempts, remaining);
    if (patience > 0) {
      context.timer.schedule(() -> repeatBeside(call), patience, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Sends the request to a further target beside one that takes unusually long.
   *
   * <p>The slow call goes on: ending it would lose its work if the further target fails too.
   */
  private synchronized void repeatBeside(TargetCall slow) {
    boolean over = side.isFinished() || callerGone || current != slow || !running.isOpen(slow);
    DocumentIndex index = document;
    if (over || index == null || context.state.isLeaving() || !mayRepeat()) {
      return;
    }
    Target target = slow.choice.target();
    target.failed(context.state.clock.nanoTime());
    context.pool.closeIdle(target.record());
    Outcome outcome = choose(index, found(), service());
    if (outcome instanceof Choice choice && choice.waitMillis() <= 0) {
      boolean paid = context.budget(service().name).tryRetry();
      context.metrics.retries.labelValues(service().name, paid ? "beside" : "left-out").inc();
      if (paid) {
        send(choice);
      }
    }
  }

  @Override
  public synchronized void ended(TargetCall call, End end) {
    running.remove(call);
    Target target = call.choice.target();
    target.inFlight.decrementAndGet();
    if (end instanceof End.Answered answered) {
      answered(call, target, answered);
    } else if (end instanceof End.NotSent notSent) {
      notSent(call, target, notSent);
    } else if (end instanceof End.Broken broken) {
      broken(call, target, broken);
    }
  }

  private void answered(TargetCall call, Target target, End.Answered end) {
    long now = context.state.clock.nanoTime();
    target.reported(end.answer().load(), now);
    if (end.answer().notRun() || end.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
      boolean misdirected = end.status() == HttpStatus.MISDIRECTED_REQUEST_421;
      count(misdirected ? "misdirected" : "rejected");
      if (misdirected) {
        // Another target has the address; the registry will say so.
        target.eject(now);
      } else {
        arrivals++;
      }
      failure(RefusalReason.REJECTED, "target answered " + end.status(), false, misdirected);
      return;
    }
    arrivals++;
    double millis = (now - call.startNanos) / 1e6;
    boolean failed = end.status() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    ServiceTargets targets = service();
    boolean slow = millis > targets.coldMillis() * SLOW_VERSION_FACTOR;
    boolean countsAsBad = failed || (slow && !target.isCold(now));
    context.state.releases.record(
        targets.name, found().name(), target.record().version(), countsAsBad);
    count(failed ? "failed" : "served");
    if (failed) {
      target.failed(now);
      boolean repeatable = found().idempotent() && !call.isStreaming() && !side.isFinished();
      if (repeatable && (!running.isEmpty() || mayRepeat())) {
        lastFailure = RefusalReason.TARGET_FAILED;
        lastReason = "target answered " + end.status();
        mayHaveRun = true;
        if (running.isEmpty()) {
          repeat(false);
        }
        return;
      }
    } else {
      if (caller.objectKey() != null) {
        target.recent.handled(objectHash);
      }
      double work = Math.max(millis - call.choice.waitMillis(), millis * 0.2);
      boolean cold = call.choice.heat() == ObjectHeat.COLD;
      double usual = cold ? targets.coldMillis() : targets.warmMillis();
      target.succeeded(work / Math.max(1, usual), now);
      if (!target.isCold(now)) {
        targets.measured(call.choice.heat(), work);
      }
    }
    deliver(call, end);
  }

  private ServiceTargets service() {
    ServiceTargets known = service;
    if (known == null) {
      throw new IllegalStateException("no service yet");
    }
    return known;
  }

  private void deliver(TargetCall call, End.Answered end) {
    if (running.isOtherStreamed(call) || !side.finish()) {
      return;
    }
    running.abortOthers(call, "another target answered");
    boolean plain = end.status() < 400 && attempts == 1;
    report(end.status(), plain ? "served" : "passed", "", !plain);
    if (call.isStreaming()) {
      side.complete();
    } else {
      side.deliver(end.status(), end.fields(), end.body());
    }
  }

  private void notSent(TargetCall call, Target target, End.NotSent end) {
    count("not-sent");
    if (!call.isAborted()) {
      eject(target, end.reason());
    }
    failure(RefusalReason.NO_CAPACITY, end.reason(), false, true);
  }

  private void broken(TargetCall call, Target target, End.Broken end) {
    arrivals++;
    count(end.timedOut() ? "timed-out" : "broken");
    if (!call.isAborted()) {
      long now = context.state.clock.nanoTime();
      context.state.releases.record(
          service().name, found().name(), target.record().version(), true);
      target.failed(now);
      if (end.timedOut()) {
        context.pool.closeIdle(target.record());
      }
    }
    if (running.isStreamed(call)) {
      if (side.finish()) {
        report(0, "broken-off", end.reason(), true);
        side.breakOff(end.reason());
      }
      return;
    }
    mayHaveRun = true;
    boolean over = end.timedOut() && remainingMillis() <= 0;
    RefusalReason refusal = over ? RefusalReason.TIMED_OUT : RefusalReason.TARGET_FAILED;
    failure(refusal, end.reason(), true, false);
  }

  private void eject(Target target, String reason) {
    long millis = target.eject(context.state.clock.nanoTime());
    service().lostTarget(context.state.clock.nanoTime());
    if (millis > 0) {
      context.state.events.log(
          SteeringEvent.TARGET_EJECTED, target.record().id(), 1, millis, reason);
    }
  }

  private void count(String outcome) {
    context.metrics.attempts.labelValues(service().name, outcome).inc();
  }

  private void failure(RefusalReason refusal, String reason, boolean mayRun, boolean free) {
    lastFailure = refusal;
    lastReason = reason;
    if (side.isFinished() || !running.isEmpty()) {
      return;
    }
    if (callerGone) {
      finishSilently(reason);
      return;
    }
    boolean allowed = !mayRun || found().idempotent();
    if (allowed && mayRepeat()) {
      repeat(free);
      return;
    }
    refuse(refusal, reason);
  }

  private boolean mayRepeat() {
    return attempts < Math.max(1, found().maxAttempts()) && remainingMillis() > MIN_REPEAT_MILLIS;
  }

  /** Sends the request to a further target if the budget allows it. */
  private void repeat(boolean free) {
    String name = service().name;
    // A request that reached no target is no repeat for the targets.
    boolean paid = free && arrivals == 0 || context.budget(name).tryRetry();
    context.metrics.retries.labelValues(name, paid ? "sent" : "left-out").inc();
    if (paid) {
      place();
    } else {
      refuse(lastFailure, lastReason + ", retry budget is used up");
    }
  }

  @Override
  public synchronized boolean begin(TargetCall call, int status, HttpFields fields) {
    if (side.isFinished() || !running.stream(call)) {
      return false;
    }
    running.abortOthers(call, "another target answered");
    side.begin(status, fields);
    return true;
  }

  @Override
  public void write(TargetCall call, ByteBuffer part, Runnable more) {
    side.write(part, more, failure -> call.abort(failure.toString()));
  }

  /** Answers in place of a target. */
  private void refuse(RefusalReason wanted, String reason) {
    RefusalReason refusal = wanted;
    if (wanted.promisesNotRun() && mayHaveRun) {
      refusal = RefusalReason.TARGET_FAILED;
    }
    if (side.finish()) {
      report(refusal.status(), refusal.name(), reason, true);
      side.refuse(refusal, refusal.promisesNotRun() ? retryAfter() : null);
    }
  }

  private String retryAfter() {
    return RequestPolicy.retryAfterSeconds(
        route == null ? RequestPolicy.UNKNOWN_WAIT_MILLIS : remainingMillis());
  }

  private void finishSilently(String reason) {
    if (side.finish()) {
      report(0, "caller-left", reason, true);
      side.abandon();
    }
  }

  private void report(int status, String outcome, String reason, boolean logged) {
    double millis = (context.state.clock.nanoTime() - startNanos) / 1e6;
    context.metrics.requests.labelValues(outcome).inc();
    context.metrics.seconds.observe(millis / 1_000);
    if (!logged) {
      return;
    }
    SteeringRoute found = route;
    SteeringWorkspace holder = workspace;
    DocumentIndex index = document;
    TargetCall call = current;
    context.log.log(
        String.valueOf(caller.id()),
        found == null ? "-" : found.name(),
        holder == null ? "-" : holder.name(),
        outcome,
        status,
        attempts,
        call == null ? "-" : call.choice.target().record().id(),
        Math.round(millis),
        found == null ? -1 : remainingMillis(),
        index == null ? 0 : index.document.version(),
        reason);
  }
}
