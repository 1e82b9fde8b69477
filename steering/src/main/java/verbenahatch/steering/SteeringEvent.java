package verbenahatch.steering;

import verbenahatch.kernel.EventCode;

/** Events of steering; docs/events.md lists them. */
public enum SteeringEvent implements EventCode {
  /** The host accepts connections and may still wait for its first document. */
  STARTED(1101, Level.INFO, "start host={} incarnation={} zone={} region={}"),
  /** SIGTERM arrived. */
  STOPPING(1102, Level.INFO, "stop-begin host={} running={} after_ms={} tick_age_ms={}"),
  /** The graceful stop has finished; the process ends. */
  STOPPED(1103, Level.INFO, "stop-end host={} running={}"),
  /** The settings file was read again. */
  RELOADED(1104, Level.INFO, "reload outcome={} detail={}"),
  /** A feed answers again. */
  FEED_REGAINED(1105, Level.INFO, "feed-regained kind={} lost_ms={}"),
  /** A feed stopped answering. */
  FEED_LOST(1106, Level.WARN, "feed-lost kind={} reason={}"),
  /** A newer document is in force. */
  DOCUMENT_APPLIED(1107, Level.INFO, "document version={} from={} routes={} workspaces={}"),
  /** A document older than the one in force was refused. */
  DOCUMENT_REFUSED(1108, Level.WARN, "document-refused version={} in_force={} from={}"),
  /** The set of targets changed. */
  TARGET_CHANGED(1109, Level.INFO, "target id={} service={} change={} version={} cold_ms={}"),
  /** A target was ejected after failures. */
  TARGET_EJECTED(1110, Level.WARN, "target-ejected id={} failures={} for_ms={} reason={}"),
  /** The evacuation of a zone began or ended. */
  EVACUATION(1111, Level.INFO, "evacuation zone={} active={}"),
  /** A host became alive or timed out. */
  PEER_CHANGED(1112, Level.INFO, "peer host={} incarnation={} heard={} age_ms={}"),
  /** The state or the exposure of a release changed. */
  RELEASE(1113, Level.INFO, "release service={} version={} step={} new={}/{} old={}/{}"),
  /** A request did not succeed at its first target. */
  REQUEST(
      1114,
      Level.INFO,
      "request id={} route={} workspace={} outcome={} status={} attempts={} target={} elapsed_ms={}"
          + " remaining_ms={} document={} reason={}"),
  /** Lines about requests were omitted to bound the volume of the log. */
  REQUESTS_NOT_LOGGED(1115, Level.INFO, "requests-not-logged count={}"),
  /** A write to the store was not confirmed. */
  WRITE_FAILED(1116, Level.WARN, "store-write object={} outcome={}"),
  /** A datagram of another host could not be received or decoded. */
  BEAT_REFUSED(1117, Level.WARN, "beat-refused from={} reason={}"),
  /** Periodic work failed. */
  TASK_FAILED(1118, Level.ERROR, "task-failed task={} reason={}"),
  /** Connections were closed because their callers took too long to send a request header. */
  HEADER_TIMEOUT(1119, Level.WARN, "header-timeout connections={} limit_ms={}"),
  /** A target refused a request and asked this host for a pause. */
  TARGET_BACK_OFF(1120, Level.INFO, "target-back-off id={} for_ms={}"),
  /** A step of a graceful stop has ended. */
  STOP_STEP(1121, Level.INFO, "stop-step name={} at_ms={} took_ms={}"),
  /** The end of the process cuts off a request. */
  REQUEST_CUT(
      1122,
      Level.WARN,
      "request-cut id={} route={} target={} elapsed_ms={} at_target_ms={} missing={}"),
  /** An attempt was sent and got no complete, valid response. */
  ATTEMPT_UNANSWERED(
      1123, Level.INFO, "attempt-unanswered id={} target={} ran_ms={} ended_by={} reason={}"),
  /** A streamed response was broken off before its end. */
  RESPONSE_BROKEN_OFF(
      1124, Level.INFO, "response-broken-off id={} target={} delimited_by={} reason={}"),
  /** A target stated that it did not run a request. */
  TARGET_REFUSED(1125, Level.INFO, "target-refused id={} target={} status={} local_port={}"),
  /** The store came back from a backup, so that writes are lost and revisions are issued again. */
  STORE_RESTORED(1130, Level.WARN, "store-restored era={} previous={}");

  private final Definition definition;

  SteeringEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
