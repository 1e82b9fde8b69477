package verbenahatch.admin;

import verbenahatch.kernel.EventCode;

/** Events of the administration API. */
public enum AdminEvent implements EventCode {
  /** The administration API listens. */
  LISTENING(8001, Level.INFO, "administration API listens on port {}"),
  /** An operator made a call that changes something. */
  OPERATOR_CALL(8002, Level.INFO, "operator {}: {} {}: status {}"),
  /** A call without known credentials was refused. */
  REFUSED_CREDENTIALS(8003, Level.WARN, "refused credentials from {} for {} {}"),
  /** A call failed in an unforeseen way. */
  CALL_FAILED(8004, Level.ERROR, "{} {} failed: {}");

  private final Definition definition;

  AdminEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
