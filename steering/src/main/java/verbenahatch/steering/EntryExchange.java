package verbenahatch.steering;

import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import verbenahatch.http.CallerWatch;
import verbenahatch.steering.ReleaseTable.VersionRule;
import verbenahatch.steering.TargetCall.End;
import verbenahatch.steering.TargetSelector.Choice;
import verbenahatch.steering.TargetSelector.Need;
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
final class EntryExchange implements TargetCall.Listener {

  /** A caller comes back after a refusal within this part of the time it has left. */
  private static final double RETRY_AFTER_PART = 0.3;

  /** Pause that a refused caller is asked for, so that queues at targets shorten. */
  private static final double MAX_RETRY_AFTER_MILLIS = 250;

  /** An answer below this part of the remaining time is not worth a repeat. */
  private static final long MIN_REPEAT_MILLIS = 100;

  /** A try of an idempotent request is given up after this many times the expected time. */
  private static final double SLOW_TRY_FACTOR = 3;

  private static final double MIN_TRY_MILLIS = 500;

  /** Shortest body that is gathered in memory without a declared length. */
  private static final long UNDECLARED_BODY_BYTES = 256 * 1024;

  /** A request waits for a slot only if it is then still answered in this part of its target. */
  private static final double ON_TIME_PART = 1.0;

  /** A request that is late anyway may wait for this part of its target latency. */
  private static final double LATE_WAIT_PART = 0.15;

  /** Requests of the highest ranks may wait this many times as long as others. */
  private static final double URGENT_WAIT_FACTOR = 1.3;

  /** Ranks up to this one are urgent. */
  private static final int URGENT_PRIORITY = 1;

  /** An answer of a new version that takes this many times as long as usual counts as failed. */
  private static final double SLOW_VERSION_FACTOR = 2.5;

  private final EntryContext context;
  private final Request request;
  private final Response response;
  private final Callback callback;
  private final CallerRequest caller;
  private final long startNanos;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final Set<Target> tried = new HashSet<>();
  private @Nullable DocumentIndex document;
  private @Nullable SteeringRoute route;
  private @Nullable SteeringWorkspace workspace;
  private @Nullable ServiceTargets service;
  private VersionRule rule = VersionRule.ANY;
  private byte @Nullable [] body;
  private long bodyReserved;
  private long deadlineNanos;
  private int attempts;
  private int arrivals;
  private volatile boolean callerGone;
  private volatile boolean mayHaveRun;
  private volatile @Nullable TargetCall current;
  private volatile @Nullable CallerWatch watch;
  private Scheduler.@Nullable Task timeout;
  private RefusalReason lastFailure = RefusalReason.NO_CAPACITY;
  private String lastReason = "";

  EntryExchange(EntryContext context, Request request, Response response, Callback callback) {
    this.context = context;
    this.request = request;
    this.response = response;
    this.callback = callback;
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
    if (index == null || !context.state.targets.isListed()) {
      refuse(RefusalReason.NO_DOCUMENT, "no document or no targets yet");
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
    if (index.needsKeys() && !admitKey(index, found)) {
      return;
    }
    readBody(index);
  }

  private boolean admitKey(DocumentIndex index, SteeringRoute found) {
    String key = caller.key();
    SteeringWorkspace holder = key == null ? null : index.workspace(key);
    if (found.open()) {
      return true;
    }
    if (holder == null) {
      refuse(RefusalReason.BAD_KEY, key == null ? "no key" : "unknown key");
      return false;
    }
    workspace = holder;
    if (!context.state.quotas.admit(holder)) {
      refuse(RefusalReason.OVER_QUOTA, "rate " + holder.ratePerSecond());
      return false;
    }
    return true;
  }

  private void readBody(DocumentIndex index) {
    long most = index.document.limits().maxBodyBytes();
    long declared = request.getLength();
    if (declared > most) {
      refuse(RefusalReason.BODY_TOO_LONG, declared + " bytes");
      return;
    }
    if (declared == 0 || isBodyless()) {
      watchCaller();
      place();
      return;
    }
    long reserve = declared > 0 ? declared : UNDECLARED_BODY_BYTES;
    bodyReserved = reserve;
    if (context.bodyMemory.addAndGet(reserve) > EntryContext.MAX_BODY_MEMORY) {
      refuse(RefusalReason.NO_MEMORY, "bodies in memory");
      return;
    }
    int limit = (int) Math.min(most, EntryContext.MAX_BODY_MEMORY);
    Content.Source.asByteArrayAsync(request, limit)
        .whenComplete(
            (bytes, failure) -> {
              if (failure instanceof IllegalStateException) {
                refuse(RefusalReason.BODY_TOO_LONG, String.valueOf(failure.getMessage()));
              } else if (failure != null) {
                refuse(RefusalReason.BODY_INCOMPLETE, failure.toString());
              } else {
                bodyRead(bytes);
              }
            });
  }

  private boolean isBodyless() {
    return request.getLength() < 0 && !request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING);
  }

  private void bodyRead(byte[] bytes) {
    long more = bytes.length - bodyReserved;
    if (more > 0) {
      bodyReserved += more;
      context.bodyMemory.addAndGet(more);
    }
    body = bytes;
    watchCaller();
    place();
  }

  private void watchCaller() {
    watch = CallerWatch.begin(request, this::callerLeft);
    long millis = Math.max(1, remainingMillis());
    timeout = context.timer.schedule(this::expire, millis, TimeUnit.MILLISECONDS);
  }

  private void callerLeft(Throwable cause) {
    callerGone = true;
    TargetCall call = current;
    // A request that may run once only goes on, so that its effect is not left half done.
    if (call == null || !call.isSent() || found().idempotent()) {
      if (call != null) {
        call.abort("the caller left");
      }
    }
  }

  private void expire() {
    TargetCall call = current;
    boolean sent = mayHaveRun || (call != null && call.isSent());
    refuse(sent ? RefusalReason.TIMED_OUT : RefusalReason.EXPIRED, "time is over");
    if (call != null) {
      call.abort("time is over");
    }
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
      rule = context.state.releases.nextRule(targets.name);
      context.budget(targets.name).onRequest();
    }
    String objectKey = caller.objectKey();
    boolean named = objectKey != null;
    long hash = Hashing.of(named ? objectKey + targets.name : String.valueOf(caller.id()));
    byte[] bytes = body;
    Need need =
        new Need(
            targets,
            index.document.services().get(targets.name),
            hash,
            named,
            context.state.settings.region(),
            homes(found),
            bytes == null ? 0 : bytes.length,
            tried,
            rule);
    Choice choice = context.state.selector.choose(need);
    if (choice == null) {
      VersionRule other = context.state.releases.fallback(targets.name, rule);
      if (other != rule) {
        rule = other;
        place();
        return;
      }
    }
    String hopeless = choice == null ? "no usable target" : hopeless(choice, found);
    if (choice == null || hopeless != null) {
      refuse(lastFailure, String.valueOf(hopeless) + lastReason);
      return;
    }
    send(choice, bytes);
  }

  private Set<String> homes(SteeringRoute found) {
    SteeringWorkspace holder = workspace;
    if (holder == null || holder.homes().isEmpty()) {
      return found.homes();
    }
    if (found.homes().isEmpty()) {
      return holder.homes();
    }
    Set<String> both = new HashSet<>(found.homes());
    both.retainAll(holder.homes());
    return both.isEmpty() ? Set.of("") : both;
  }

  /** Tells why an answer cannot come in time, null if it can. */
  private @Nullable String hopeless(Choice choice, SteeringRoute found) {
    if (choice.waitMillis() >= remainingMillis()) {
      return "wait of " + Math.round(choice.waitMillis()) + " ms is longer than the time left. ";
    }
    SteeringWorkspace holder = workspace;
    boolean ranked = holder != null && holder.priority() >= 0;
    int priority = ranked && holder != null ? holder.priority() : found.priority();
    double elapsed = (context.state.clock.nanoTime() - startNanos) / 1e6;
    double target = found.targetLatencyMillis();
    double spare = target * ON_TIME_PART - elapsed - choice.workMillis();
    double most = Math.max(spare, target * LATE_WAIT_PART);
    if (priority <= URGENT_PRIORITY) {
      most *= URGENT_WAIT_FACTOR;
    }
    if (choice.waitMillis() > most) {
      return "wait of " + Math.round(choice.waitMillis()) + " ms is too long. ";
    }
    return null;
  }

  private void send(Choice choice, byte @Nullable [] bytes) {
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
            bytes,
            String.valueOf(caller.id()),
            found.idempotent(),
            addition,
            tryMillis(choice, found, remaining));
    TargetCall call =
        new TargetCall(
            context.pool, context.wire, choice, message, this, context.state.clock.nanoTime());
    choice.target().inFlight.incrementAndGet();
    current = call;
    if (finished.get()) {
      choice.target().inFlight.decrementAndGet();
      return;
    }
    call.send();
  }

  private long tryMillis(Choice choice, SteeringRoute found, long remaining) {
    if (!found.idempotent() || attempts >= found.maxAttempts()) {
      return remaining;
    }
    double patience =
        Math.max(MIN_TRY_MILLIS, (choice.workMillis() + choice.waitMillis()) * SLOW_TRY_FACTOR);
    return patience > remaining * 0.6 ? remaining : (long) patience;
  }

  @Override
  public void ended(TargetCall call, End end) {
    Target target = call.choice.target();
    target.inFlight.decrementAndGet();
    if (end instanceof End.Answered answered) {
      answered(call, target, answered);
    } else if (end instanceof End.NotSent notSent) {
      notSent(target, notSent);
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
      if (found().idempotent() && !call.isStreaming() && mayRepeat()) {
        lastReason = "target answered " + end.status();
        mayHaveRun = true;
        repeat(false);
        return;
      }
    } else {
      double work = Math.max(millis - call.choice.waitMillis(), millis * 0.2);
      double usual = call.choice.rank() == 0 ? targets.warmMillis() : targets.coldMillis();
      target.succeeded(work / Math.max(1, usual), now);
      if (!target.isCold(now)) {
        targets.measured(call.choice.rank(), work);
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
    if (call.isStreaming()) {
      end(end.status(), "served", "");
      response.write(true, null, callback);
      return;
    }
    if (!finish()) {
      return;
    }
    context.wire.copyAnswer(end.fields(), response.getHeaders());
    response.setStatus(end.status());
    addConnectionHeader();
    boolean plain = end.status() < 400 && attempts == 1;
    report(end.status(), plain ? "served" : "passed", "", !plain);
    boolean bodyless = "HEAD".equals(request.getMethod()) || end.status() == 204;
    if (!bodyless) {
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, end.body().length);
    }
    response.write(true, bodyless ? null : ByteBuffer.wrap(end.body()), callback);
  }

  private void addConnectionHeader() {
    if (context.state.isLeaving()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  private void notSent(Target target, End.NotSent end) {
    count("not-sent");
    if (!callerGone && !finished.get()) {
      eject(target, end.reason());
    }
    failure(RefusalReason.NO_CAPACITY, end.reason(), false, true);
  }

  private void broken(TargetCall call, Target target, End.Broken end) {
    arrivals++;
    count(end.timedOut() ? "timed-out" : "broken");
    if (!callerGone && !finished.get()) {
      long now = context.state.clock.nanoTime();
      context.state.releases.record(
          service().name, found().name(), target.record().version(), true);
      if (end.timedOut()) {
        target.failed(now);
        context.pool.closeIdle(target.record());
      } else {
        target.failed(now);
      }
    }
    if (call.isStreaming()) {
      if (finish()) {
        report(0, "broken-off", end.reason(), true);
        callback.failed(new java.io.IOException(end.reason()));
      }
      return;
    }
    mayHaveRun = true;
    failure(RefusalReason.TARGET_FAILED, end.reason(), true, false);
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
  public boolean begin(TargetCall call, int status, HttpFields fields) {
    if (finished.get()) {
      return false;
    }
    context.wire.copyAnswer(fields, response.getHeaders());
    response.setStatus(status);
    addConnectionHeader();
    return true;
  }

  @Override
  public void write(TargetCall call, ByteBuffer part, Runnable more) {
    response.write(false, part, Callback.from(more, failure -> call.abort(failure.toString())));
  }

  /** Answers in place of a target. */
  private void refuse(RefusalReason wanted, String reason) {
    RefusalReason refusal = wanted;
    if (wanted.promisesNotRun() && mayHaveRun) {
      refusal = RefusalReason.TARGET_FAILED;
    }
    if (!finish()) {
      return;
    }
    response.setStatus(refusal.status());
    if (refusal.promisesNotRun()) {
      response.getHeaders().put(HttpHeader.RETRY_AFTER, retryAfter());
    }
    addConnectionHeader();
    byte[] text = (refusal.name() + "\n").getBytes(java.nio.charset.StandardCharsets.US_ASCII);
    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, text.length);
    report(refusal.status(), refusal.name(), reason, true);
    response.write(true, ByteBuffer.wrap(text), callback);
  }

  private String retryAfter() {
    double left = route == null ? 1_000 : Math.max(0, remainingMillis());
    double millis = Math.min(MAX_RETRY_AFTER_MILLIS, left * RETRY_AFTER_PART);
    return String.format(Locale.ROOT, "%.2f", millis / 1_000);
  }

  private void finishSilently(String reason) {
    if (finish()) {
      report(0, "caller-left", reason, true);
      callback.failed(new java.io.EOFException("the caller left"));
    }
  }

  /** Takes the right to answer; only the first call gets it. */
  private boolean finish() {
    if (!finished.compareAndSet(false, true)) {
      return false;
    }
    CallerWatch watching = watch;
    if (watching != null) {
      watching.end();
    }
    Scheduler.Task task = timeout;
    if (task != null) {
      task.cancel();
    }
    context.bodyMemory.addAndGet(-bodyReserved);
    return true;
  }

  private void end(int status, String outcome, String reason) {
    finish();
    report(status, outcome, reason, false);
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
