package verbenahatch.daemon;

import verbenahatch.kernel.EventCode;

/** Events of the process as a whole. */
public enum DaemonEvent implements EventCode {
  /** The process has started all plug-ins. */
  STARTED(9001, Level.INFO, "host {} in region {} zone {} started"),
  /** The process was asked to stop and is draining. */
  STOPPING(9002, Level.INFO, "host {} stops gracefully"),
  /** The process has stopped. */
  STOPPED(9003, Level.INFO, "host {} stopped"),
  /** A component of the process failed to close. */
  STOP_FAILED(9005, Level.ERROR, "host {} stopped with a failure: {}");

  private final Definition definition;

  DaemonEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
