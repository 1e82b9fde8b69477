package verbenahatch.release;

import verbenahatch.kernel.EventCode;

/** Events of releases. */
public enum ReleaseEvent implements EventCode {
  /** A release entered its next stage, which raises its exposure. */
  STAGE_ENTERED(6001, Level.INFO, "release {} entered stage {} with {} of the requests"),
  /** A release is done: the new version receives all requests. */
  DONE(6002, Level.INFO, "release {} done: version {} carries all requests"),
  /** This host found a fault and no longer sends requests to the new version. */
  HALTED_HERE(6003, Level.ERROR, "release {} halted by this host: {}"),
  /** Another host halted a release. */
  HALTED(6004, Level.ERROR, "release {} halted: {}"),
  /** The record states that the release was rolled back. */
  REVERSED(6005, Level.ERROR, "release {} reversed: {}"),
  /** The record could not be written, so the exposure stays unchanged. */
  RECORD_NOT_WRITTEN(6006, Level.WARN, "release {} keeps its exposure: {}"),
  /** A record or a report could not be read. */
  UNREADABLE(6007, Level.ERROR, "release data of {} is unreadable: {}");

  private final Definition definition;

  ReleaseEvent(int number, Level level, String template) {
    this.definition = new Definition(number, level, template);
  }

  @Override
  public Definition definition() {
    return definition;
  }
}
