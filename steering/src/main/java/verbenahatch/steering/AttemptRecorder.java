package verbenahatch.steering;

import java.util.Locale;
import org.eclipse.jetty.http.HttpStatus;
import verbenahatch.steering.ObjectMoves.Move;
import verbenahatch.steering.TargetAttempt.Completion;
import verbenahatch.steering.model.WireProtocol.TargetResponse;

/**
 * Records what the attempts of one request tell about its service and its targets.
 *
 * <p>Updates load, ejection, response times, back-off, the retry budget and the comparison of
 * versions; does not decide what becomes of the request.
 */
final class AttemptRecorder {

  final ServiceTargets targets;

  private final EntryContext context;

  /**
   * Creates a recorder.
   *
   * @param context the shared state of the host
   * @param targets the service that the request is for
   */
  AttemptRecorder(EntryContext context, ServiceTargets targets) {
    this.context = context;
    this.targets = targets;
  }

  private static String lowerCase(Move move) {
    return move.name().toLowerCase(Locale.ROOT);
  }

  /** Counts an attempt in the metrics under the name of its outcome. */
  private void count(String outcome) {
    context.metrics.attempts.labelValues(targets.name, outcome).inc();
  }

  /** Counts a complete response in the metrics. */
  private void count(Completion.Responded completion) {
    context.metrics.responses.labelValues(targets.name, completion.framing().label()).inc();
  }

  /**
   * Takes a retry from the budget of the service and counts it in the metrics.
   *
   * @param free whether the retry needs no budget
   * @param kind the label of a retry that is sent
   * @return whether the budget allows the retry
   */
  boolean tryRetry(boolean free, String kind) {
    boolean allowed = free || context.retryBudget(targets.name).tryRetry();
    context.metrics.retries.labelValues(targets.name, allowed ? kind : "left-out").inc();
    return allowed;
  }

  private long now() {
    return context.state.clock.nanoTime();
  }

  /**
   * Records what the header fields of a response say about a target's wish for further requests.
   *
   * @param target the target that was asked
   * @param status the status of the response
   * @param answer the fields of the protocol
   */
  void recordWishes(Target target, int status, TargetResponse answer) {
    if (status == HttpStatus.MISDIRECTED_REQUEST_421) {
      // Another target has taken over the address and speaks for itself only.
      return;
    }
    if (answer.leaving()) {
      context.state.targets.markLeaving(target);
    }
    boolean pauses =
        status == HttpStatus.SERVICE_UNAVAILABLE_503
            && answer.backOffMillis() > 0
            && target.backOff(answer.backOffMillis(), now());
    if (pauses) {
      context.state.events.log(
          SteeringEvent.TARGET_BACK_OFF, target.record().id(), answer.backOffMillis());
    }
  }

  /**
   * Records a response that states that the request did not run.
   *
   * @param attempt the attempt
   * @param completion its response
   */
  void recordRejection(TargetAttempt attempt, Completion.Responded completion) {
    Target target = attempt.choice.target();
    count(completion);
    context.requestLog.log(
        SteeringEvent.TARGET_REFUSED,
        attempt.requestId,
        target.record().id(),
        completion.status(),
        attempt.refusalPort());
    target.recordLoad(completion.answer().load(), now());
    if (completion.status() == HttpStatus.MISDIRECTED_REQUEST_421) {
      count("misdirected");
      // Another target has taken over the address; a registry update will follow.
      target.eject(now());
    } else {
      count("rejected");
    }
  }

  /**
   * Records a response to a request that ran.
   *
   * @param attempt the attempt
   * @param completion its response
   * @param route the name of the route
   * @return the time in ms from the start of the attempt to the response
   */
  double recordResponse(TargetAttempt attempt, Completion.Responded completion, String route) {
    count(completion);
    long now = now();
    Target target = attempt.choice.target();
    target.recordLoad(completion.answer().load(), now);
    double millis = (now - attempt.startNanos) / 1e6;
    boolean failed = completion.status() >= HttpStatus.INTERNAL_SERVER_ERROR_500;
    recordEvidence(
        target,
        route,
        VersionEvidence.ofResponse(
            failed, millis, targets.times(route).coldMillis(), target.isCold(now)));
    count(failed ? "failed" : "served");
    if (failed) {
      target.recordFailure(now);
    }
    return millis;
  }

  /**
   * Records the response time of a successful attempt.
   *
   * @param attempt the attempt
   * @param millis the time in ms that {@link #recordResponse} returned
   * @param route the name of the route
   * @param namesObject whether the request names an object, which the target now has
   * @param objectHash the hash of that object
   */
  void recordSuccess(
      TargetAttempt attempt, double millis, String route, boolean namesObject, long objectHash) {
    Target target = attempt.choice.target();
    if (namesObject) {
      target.recentObjects.add(objectHash);
    }
    // A slow moment of the target's machine tells nothing about the request or its object.
    double measuredMillis = Math.max(millis - attempt.choice.waitMillis(), millis * 0.2);
    double workMillis = measuredMillis / target.workTimeFactor(now());
    CacheState cacheState = attempt.choice.cacheState();
    ProcessingTimes times = targets.times(route);
    if (namesObject) {
      boolean warm = times.nearestMillis(workMillis) == times.warmMillis();
      context.metrics.runs.labelValues(targets.name, route, warm ? "warm" : "cold").inc();
      Move move = targets.objectMoves.record(objectHash, target.keyHash);
      context.metrics.objectMoves.labelValues(targets.name, lowerCase(move)).inc();
    }
    // Only a target that is known to have the object is slow if it takes longer than a warm one.
    double expectedMillis =
        cacheState == CacheState.WARM ? times.warmMillis() : times.nearestMillis(workMillis);
    long now = now();
    target.recordSuccess(workMillis / Math.max(1, expectedMillis), now);
    // Requests that name no object, for example probes of a route, may do no work at all.
    if (!target.isCold(now) && namesObject) {
      targets.recordTime(route, cacheState, workMillis);
    }
  }

  /**
   * Records an attempt that reached no target, and ejects the target unless the attempt was
   * aborted.
   *
   * @param attempt the attempt
   * @param reason why it was not sent
   */
  void recordNotSent(TargetAttempt attempt, String reason) {
    count("not-sent");
    if (attempt.isAborted()) {
      return;
    }
    Target target = attempt.choice.target();
    long millis = target.eject(now());
    targets.recordLoss(now());
    if (millis > 0) {
      context.state.events.log(
          SteeringEvent.TARGET_EJECTED, target.record().id(), 1, millis, reason);
    }
  }

  private void recordEvidence(Target target, String route, VersionEvidence evidence) {
    if (evidence != VersionEvidence.NONE) {
      boolean bad = evidence == VersionEvidence.BAD;
      context.state.releases.record(targets.name, route, target.record().version(), bad);
    }
  }

  /** Records what ended an attempt, so that a status made by this host can be explained. */
  private void recordEnd(TargetAttempt attempt, Completion.Failed completion) {
    AttemptEnd end =
        AttemptEnd.of(attempt.isAborted(), completion.timedOut(), attempt.hasInvalidResponse());
    context.metrics.unanswered.labelValues(targets.name, end.label()).inc();
    context.requestLog.log(
        SteeringEvent.ATTEMPT_UNANSWERED,
        attempt.requestId,
        attempt.choice.target().record().id(),
        (now() - attempt.startNanos) / 1_000_000,
        end.label(),
        completion.reason());
  }

  /**
   * Records an attempt that was sent and got no complete response.
   *
   * @param attempt the attempt
   * @param completion how it ended
   * @param route the name of the route
   */
  void recordFailure(TargetAttempt attempt, Completion.Failed completion, String route) {
    boolean timedOut = completion.timedOut();
    count(timedOut ? "timed-out" : "broken");
    recordEnd(attempt, completion);
    Target target = attempt.choice.target();
    if (attempt.isAborted()) {
      double millis = (now() - attempt.startNanos) / 1e6;
      boolean cold = target.isCold(now());
      recordEvidence(
          target, route, VersionEvidence.ofAborted(millis, attempt.choice.expectedMillis(), cold));
      return;
    }
    recordEvidence(target, route, VersionEvidence.BAD);
    target.recordFailure(now());
    if (timedOut) {
      context.pool.closeIdle(target.record());
    }
  }
}
