package verbenahatch.release;

import verbenahatch.kernel.EventCode;

/** Events of releases. */
public enum ReleaseEvent implements EventCode {
  /** The exposure of a release rose. */
  STAGE_ENTERED(6001, Level.INFO, "release {} entered stage {} with {} of the requests"),
  /** A release is done. */
  DONE(6002, Level.INFO, "release {} done: version {} carries all requests"),
  /** This host found a fault and sends the release no more requests. */
  HALTED_HERE(6003, Level.ERROR, "release {} halted by this host: {}"),
  /** Another host halted a release. */
  HALTED(6004, Level.ERROR, "release {} halted: {}"),
  /** The record says that the release was reversed. */
  REVERSED(6005, Level.ERROR, "release {} reversed: {}"),
  /** The record could not be written, so exposure does not rise. */
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
