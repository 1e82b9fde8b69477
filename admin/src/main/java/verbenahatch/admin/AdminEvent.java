package verbenahatch.admin;

import verbenahatch.kernel.EventCode;

/** Events of the administration API. */
public enum AdminEvent implements EventCode {
  /** The administration API accepts connections. */
  LISTENING(8001, Level.INFO, "administration API listens on port {}"),
  /** An operator sent a request other than GET. */
  OPERATOR_REQUEST(8002, Level.INFO, "operator {}: {} {}: status {}"),
  /** A request without known credentials was refused. */
  REFUSED_CREDENTIALS(8003, Level.WARN, "refused credentials from {} for {} {}"),
  /** A request failed with an unexpected exception. */
  REQUEST_FAILED(8004, Level.ERROR, "{} {} failed: {}");

  private final Definition definition;

  AdminEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
