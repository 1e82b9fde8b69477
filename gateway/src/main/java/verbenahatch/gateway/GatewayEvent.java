package verbenahatch.gateway;

import verbenahatch.kernel.EventCode;

/** Events of the gateway. */
public enum GatewayEvent implements EventCode {
  /** The callers' endpoint was opened. */
  LISTENING(7001, Level.INFO, "callers' endpoint listens on {}:{}"),
  /** A graceful stop has begun. */
  DRAIN_STARTED(7002, Level.INFO, "leaving: advice drops this host, {} requests run"),
  /** A graceful stop is over. */
  DRAINED(7003, Level.INFO, "drained: {} requests were still running"),
  /** The request id in a target's response is not that of the request on this connection. */
  ANSWER_MISMATCHED(7004, Level.WARN, "target {} answered another request; connection closed"),
  /** A request failed inside the gateway. */
  REQUEST_FAILED(7005, Level.ERROR, "request failed inside the gateway: {}"),
  /** A request to a target timed out, so the idle connections to the target were closed. */
  TARGET_TIMED_OUT(7006, Level.WARN, "target {} was silent; {} idle connections closed"),
  /** A target failed more often than others, so it gets no requests for a time. */
  TARGET_EJECTED(7007, Level.WARN, "target {} of service {} ejected after failures");

  private final Definition definition;

  GatewayEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
