package verbenahatch.gateway;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
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
 * Takes one request from the caller to a target and back.
 *
 * <p>Steps: route, key, admission, version, region and target, last check, forwarding. Each step
 * continues on the thread that completes it; nothing blocks.
 */
final class Exchange implements Placement.Listener {

  /** Attempts per request, the first included. */
  private static final int MAX_ATTEMPTS = 3;

  /** Places become free within some requests' time; a second spreads the retries of callers. */
  private static final long NO_CAPACITY_RETRY_MILLIS = 1_000;

  final DataPath path;
  final GatewayContext context;
  final Request request;
  final Response response;
  private final Callback callback;
  private final AtomicBoolean finished = new AtomicBoolean();
  private final AtomicReference<@Nullable Attempt> attempt = new AtomicReference<>();
  private final AtomicReference<@Nullable CallerWatch> watch = new AtomicReference<>();
  private final Set<String> tried = new HashSet<>();
  private volatile boolean callerGone;
  private int attempts;

  /** The first refusal of an attempt that may have run; later ones must not claim otherwise. */
  private @Nullable Refusal mayHaveRun;

  private @Nullable Refusal lastFailure;

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
  private int runStatus;

  Exchange(DataPath path, Request request, Response response, Callback callback) {
    this.path = path;
    this.context = path.context();
    this.request = request;
    this.response = response;
    this.callback = callback;
  }

  void start() {
    request.addFailureListener(this::onCallerGone);
    EnvironmentDocument document = context.config().document().orElse(null);
    if (document == null) {
      refuse(Refusal.NO_CONFIGURATION);
      return;
    }
    String canonicalPath = request.getHttpURI().getCanonicalPath();
    RouteTable.Match match = path.routes().match(request.getMethod(), canonicalPath);
    if (match instanceof RouteTable.Match.Found found) {
      route = found.route();
      begin(document, found.route(), canonicalPath);
    } else if (match instanceof RouteTable.Match.OtherMethod) {
      refuse(Refusal.METHOD_NOT_ALLOWED);
    } else {
      refuse(Refusal.NO_ROUTE);
    }
  }

  private void begin(EnvironmentDocument document, Route found, String canonicalPath) {
    KeyStripper.Presented presented = KeyStripper.find(request.getHeaders());
    if (!(presented instanceof KeyStripper.Presented.Key presentedKey)) {
      refuse(Refusal.KEY_AMBIGUOUS);
      return;
    }
    key = presentedKey.key();
    if (KeyStripper.carriesKey(canonicalPath, key)) {
      refuse(Refusal.KEY_IN_PATH);
      return;
    }
    Long millis = Deadlines.millis(request.getHeaders(), found.timeoutMillis());
    if (millis == null) {
      refuse(Refusal.BAD_REQUEST);
      return;
    }
    if (!Submissions.isValid(request.getHeaders())) {
      refuse(Refusal.BAD_REQUEST);
      return;
    }
    // A request that may run twice without harm needs no claim.
    submission = found.idempotent() ? null : Submissions.read(request.getHeaders());
    if (millis <= 0) {
      refuse(Refusal.DEADLINE_UNREACHABLE);
      return;
    }
    deadlineNanos = context.clock().nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    if (found.access() == Access.OPEN) {
      chooseVersion(document, found);
    } else {
      checkKey(document, found);
    }
  }

  private void checkKey(EnvironmentDocument document, Route found) {
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
        .thenAccept(admission -> admitted(document, found, admission))
        .exceptionally(this::internal);
  }

  static Refusal refusalOf(KeyCheck check) {
    if (check instanceof KeyCheck.NotFresh) {
      return Refusal.HOST_NOT_FRESH;
    }
    return check instanceof KeyCheck.Withdrawn ? Refusal.KEY_WITHDRAWN : Refusal.KEY_UNKNOWN;
  }

  private void admitted(EnvironmentDocument document, Route found, Admission admission) {
    if (admission instanceof Admission.Admitted) {
      chooseVersion(document, found);
    } else if (admission instanceof Admission.OverLimit over) {
      refuse(Refusal.OVER_LIMIT, over.retryAfterMillis());
    } else if (admission instanceof Admission.NotFresh) {
      refuse(Refusal.HOST_NOT_FRESH);
    } else {
      refuse(Refusal.WORKSPACE_UNKNOWN);
    }
  }

  private void chooseVersion(EnvironmentDocument document, Route found) {
    ServiceTargets targets = path.targets().service(found.service());
    for (Service candidate : document.services()) {
      if (targets != null && candidate.name().equals(found.service())) {
        double draw = ThreadLocalRandom.current().nextDouble();
        version = context.releases().chooseVersion(candidate.name(), candidate.version(), draw);
        service = targets;
        prepareContent();
        findPlace();
        return;
      }
    }
    refuse(Refusal.NO_TARGET);
  }

  private void prepareContent() {
    long length = request.getLength();
    boolean chunked = request.getHeaders().contains("Transfer-Encoding");
    boolean http2 = request.getConnectionMetaData().getHttpVersion().getVersion() >= 20;
    Content.Chunk first = null;
    if (length < 0 && http2) {
      first = request.read();
      if (first != null && first.isLast() && !first.hasRemaining()) {
        return;
      }
    } else if (length == 0 || (length < 0 && !chunked)) {
      watchCaller();
      return;
    }
    content = new CallerContent(request, length, first, key, this::watchCaller);
  }

  private void watchCaller() {
    watch.set(CallerWatch.begin(request, this::onCallerGone));
  }

  private void settle(Outcome outcome, int status) {
    Claim held = claim;
    if (held != null) {
      held.settle(Settlement.valueOf(outcome.name()), status);
    }
  }

  private void endWatch() {
    CallerWatch watching = watch.getAndSet(null);
    if (watching != null) {
      watching.end();
    }
  }

  private void findPlace() {
    String waitsAs = workspace == null ? "" : workspace;
    boolean open = routeFound().access() == Access.OPEN;
    new Placement(path, service(), version, waitsAs, tried, deadlineNanos, open, this).begin();
  }

  @Override
  public void placed(Place place) {
    Submissions.Submission submitted = submission;
    if (submitted == null || claim != null) {
      attempt(place);
      return;
    }
    path.submissions()
        .claim(submitted, workspace, deadlineNanos)
        .thenAccept(result -> claimed(place, result))
        .exceptionally(this::internal);
  }

  private void claimed(Place place, ClaimResult result) {
    if (result instanceof ClaimResult.Granted granted) {
      claim = granted.claim();
      if (callerGone) {
        place.release();
        refuse(Refusal.DEADLINE_UNREACHABLE);
        return;
      }
      attempt(place);
      return;
    }
    place.release();
    if (result instanceof ClaimResult.AlreadyRun ran && ran.status() > 0) {
      runStatus = ran.status();
    }
    refuse(Submissions.refusalOf(result));
  }

  private void attempt(Place place) {
    attempts++;
    tried.add(place.target().target().id());
    Attempt next = new Attempt(this, place);
    attempt.set(next);
    next.start();
    if (callerGone) {
      next.cancel(new IllegalStateException("caller is gone"));
    }
  }

  @Override
  public void notPlaced(Refusal refusal) {
    Refusal failure = lastFailure;
    if (failure != null) {
      refuse(failure);
    } else {
      refuse(refusal, refusal == Refusal.NO_CAPACITY ? NO_CAPACITY_RETRY_MILLIS : 0);
    }
  }

  @Override
  public boolean isGone() {
    return callerGone;
  }

  /**
   * Checks freshness, key and deadline at the moment before the first byte.
   *
   * @return null if the request may be sent
   */
  @Nullable Refusal lastCheck() {
    if (callerGone || context.clock().nanoTime() - deadlineNanos >= 0) {
      return Refusal.DEADLINE_UNREACHABLE;
    }
    Claim held = claim;
    if (held != null && !held.isHeld(context.clock().nanoTime())) {
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
   * Ends a failed attempt with another one or with a refusal.
   *
   * @param refusal the refusal if there is no other attempt
   * @param sent whether a byte may have been sent
   * @param bodyTouched whether bytes of the body were taken from the caller
   */
  void attemptFailed(Refusal refusal, boolean sent, boolean bodyTouched) {
    if (refusal.outcome() == Outcome.UNKNOWN && mayHaveRun == null) {
      mayHaveRun = refusal;
    }
    lastFailure = refusal;
    boolean again = (!sent || routeFound().idempotent()) && !bodyTouched && attempts < MAX_ATTEMPTS;
    boolean retryable =
        refusal == Refusal.TARGET_FAILED
            || refusal == Refusal.TARGET_UNREACHABLE
            || refusal == Refusal.TARGET_SHED
            || refusal == Refusal.ANSWER_MISMATCHED
            || refusal == Refusal.DEADLINE_EXCEEDED;
    if (again && retryable && !callerGone && path.retries().tryRetry()) {
      findPlace();
      return;
    }
    refuse(refusal);
  }

  private void onCallerGone(Throwable cause) {
    callerGone = true;
    Attempt current = attempt.get();
    if (current != null) {
      current.cancel(cause);
    }
  }

  boolean isRetry() {
    return attempts > 1;
  }

  Route routeFound() {
    Route found = route;
    if (found == null) {
      throw new IllegalStateException("no route yet");
    }
    return found;
  }

  private ServiceTargets service() {
    ServiceTargets found = service;
    if (found == null) {
      throw new IllegalStateException("no service yet");
    }
    return found;
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

  /** Answers in place of a target. */
  void refuse(Refusal refusal) {
    refuse(refusal, 0);
  }

  private void refuse(Refusal reason, long retryAfterMillis) {
    Refusal earlier = mayHaveRun;
    boolean hides = earlier != null && reason.outcome() == Outcome.NOT_RUN;
    Refusal refusal = hides ? Objects.requireNonNull(earlier) : reason;
    if (finished.compareAndSet(false, true)) {
      endWatch();
      path.count(routeFoundOrNull(), refusal);
      settle(refusal.outcome(), 0);
      Refusals.write(response, path.leaving(callback), refusal, retryAfterMillis, runStatus);
    }
  }

  private @Nullable Route routeFoundOrNull() {
    return route;
  }

  /** Ends the exchange after a complete answer. */
  void finish() {
    if (finished.compareAndSet(false, true)) {
      endWatch();
      settle(Outcome.RUN, response.getStatus());
      path.leaving(callback).succeeded();
    }
  }

  /** Ends the caller's answer as broken. */
  void breakOff(Throwable cause) {
    if (finished.compareAndSet(false, true)) {
      endWatch();
      settle(Outcome.UNKNOWN, 0);
      path.leaving(callback).failed(cause);
    }
  }

  private @Nullable Void internal(Throwable failure) {
    context.events().log(GatewayEvent.REQUEST_FAILED, KeyStripper.mask(failure.toString()));
    refuse(Refusal.INTERNAL);
    return null;
  }
}
